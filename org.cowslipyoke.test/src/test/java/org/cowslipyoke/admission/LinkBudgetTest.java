package org.cowslipyoke.admission;

import static org.cowslipyoke.admission.LinkBudget.Purpose.EXPORT;
import static org.cowslipyoke.admission.LinkBudget.Purpose.INTERACTIVE_IMPORT;
import static org.cowslipyoke.admission.LinkBudget.Purpose.OVERNIGHT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against links over their budget, exports before imports, and retry storms. */
class LinkBudgetTest {

  private static final long RATE = 1_000_000;
  private static final long SEED = 11;

  private final ManualClock clock = new ManualClock();
  private final LinkBudget link = new LinkBudget(clock, RATE, new SplittableRandom(SEED));

  @Test
  void averageStaysWithinBudget() {
    long granted = 0;
    for (int ms = 0; ms < 10_000; ms++) {
      while (link.tryAcquire(INTERACTIVE_IMPORT, 40_000)) {
        granted += 40_000;
      }
      clock.advance(1);
    }
    assertTrue(granted <= 10 * RATE + RATE / 4, "granted " + granted);
    assertTrue(granted >= 9 * RATE, "granted " + granted);
  }

  @Test
  void blockAboveTheBurstIsPaidFor() {
    assertTrue(link.tryAcquire(INTERACTIVE_IMPORT, 2 * RATE));
    clock.advance(1_900);
    assertFalse(link.tryAcquire(INTERACTIVE_IMPORT, 2 * RATE));
    clock.advance(200);
    assertTrue(link.tryAcquire(INTERACTIVE_IMPORT, 2 * RATE));
  }

  @Test
  void lessUrgentTransfersLeaveRoom() {
    assertTrue(link.tryAcquire(INTERACTIVE_IMPORT, 130_000));
    assertFalse(link.tryAcquire(OVERNIGHT, 10_000));
    assertTrue(link.tryAcquire(EXPORT, 10_000));
    assertFalse(link.tryAcquire(EXPORT, 60_000));
    assertTrue(link.tryAcquire(INTERACTIVE_IMPORT, 60_000));
  }

  @Test
  void exportWaitsForAnnouncedImport() {
    link.announceInteractiveImport();
    assertFalse(link.tryAcquire(EXPORT, 1));
    link.withdrawInteractiveImport();
    assertTrue(link.tryAcquire(EXPORT, 1));
  }

  @Test
  void measuredRateReplacesConfiguredOneWhenLower() {
    link.succeeded(1_000, 10);
    assertEquals(100_000, link.rate(), 1);
    for (int i = 0; i < 50; i++) {
      link.succeeded(100_000, 10);
    }
    assertEquals(RATE, link.rate(), 1, "a recovered link has its configured rate again");
  }

  @Test
  void slowTransferAmongFastOnesDoesNotLowerTheRate() {
    link.succeeded(100_000, 10);
    link.succeeded(1_000, 50);
    assertEquals(RATE, link.rate(), 1, "a small transfer shows latency, not the rate");
  }

  @Test
  void linkThatBecameSlowIsNoticedAfterTwoWindows() {
    link.succeeded(100_000, 10);
    for (int i = 0; i < 4; i++) {
      clock.advance(LinkBudget.WINDOW_MS / 2 + 1);
      link.succeeded(1_000, 10);
    }
    assertEquals(100_000, link.rate(), 1);
    clock.advance(2 * LinkBudget.WINDOW_MS);
    assertEquals(RATE, link.rate(), 1, "an idle link must be tried again");
  }

  @Test
  void closesAfterThreeFailuresForDoublingTimes() {
    link.failed();
    link.failed();
    link.onResponse();
    link.failed();
    link.failed();
    assertTrue(link.isOpen(), "two failures in a row");
    link.failed();
    long base = LinkBudget.FIRST_CLOSE_MS;
    for (int i = 0; i < 8; i++) {
      clock.advance(base - 1);
      assertFalse(link.isOpen(), "closed for at least " + base);
      clock.advance(base / 2 + 1);
      assertTrue(link.tryAcquire(INTERACTIVE_IMPORT, 1), "open after " + base + ", seed " + SEED);
      assertFalse(link.tryAcquire(INTERACTIVE_IMPORT, 1), "one trial at a time");
      link.failed();
      base = Math.min(LinkBudget.MAX_CLOSE_MS, 2 * base);
    }
  }
}

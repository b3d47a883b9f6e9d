package org.cowslipyoke.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.LoadingSlots.Slot;
import org.junit.jupiter.api.Test;

class OrderLeaseTest {

  private static final long NEEDED_MS = 1_000;

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final List<PauseDetector> detectors = new ArrayList<>();
  private int tokens;

  private OrderLease lease(PauseDetector pauses) {
    detectors.add(pauses);
    return new OrderLease(table, clock, pauses, "s1", () -> "t" + tokens++);
  }

  private OrderLease lease() {
    return lease(new PauseDetector(clock));
  }

  private LoadingSlots slots(String vm) {
    return new LoadingSlots(table, clock, vm, () -> "t" + tokens++);
  }

  /** Lets time pass while all processes run. */
  private void run(long ms) {
    for (long left = ms; left > 0; left -= PauseDetector.TICK_MS) {
      clock.advance(Math.min(left, PauseDetector.TICK_MS));
      detectors.forEach(PauseDetector::tick);
    }
  }

  private static ErrorKind kindOf(OrderLease l, boolean waitForEarlierTerm) {
    return l.checkOrder(waitForEarlierTerm, NEEDED_MS).getLeft().kind();
  }

  /** Guards against a fencing number that repeats, and against writes that are not needed. */
  @Test
  void numberGrowsWithEachAcquisition() {
    OrderLease a = lease();
    assertEquals(1, a.acquire().get());
    assertEquals(1, a.acquire().get());
    assertEquals(1, table.commits());
    run(OrderLease.TERM_MS);
    assertEquals(ErrorKind.NOT_READY, kindOf(a, false));
    assertEquals(2, a.acquire().get());
    assertEquals(2, a.checkOrder(true, NEEDED_MS).get());
    assertEquals(3, lease().acquire().get());
  }

  /** Guards against an order of a holder that was frozen beyond its term. */
  @Test
  void frozenHolderSendsNoOrderUntilItAcquiresAgain() {
    PauseDetector frozen = new PauseDetector(clock);
    OrderLease a = lease(frozen);
    a.acquire().get();
    clock.advance(OrderLease.TERM_MS / 2);
    // The pause ended within the term, but the state of the process is still old.
    assertEquals(ErrorKind.NOT_READY, kindOf(a, false));
    assertEquals(ErrorKind.NOT_READY, a.acquire().getLeft().kind());
    frozen.confirmRecovered(frozen.pauseCount());
    assertEquals(ErrorKind.NOT_READY, kindOf(a, false));
    clock.advance(OrderLease.TERM_MS);
    frozen.confirmRecovered(frozen.pauseCount());
    assertEquals(2, a.acquire().get());
    assertEquals(2, a.checkOrder(false, NEEDED_MS).get());
  }

  /** Guards against two holders that send orders to an engine without fencing at the same time. */
  @Test
  void nextHolderWaitsForTheEndOfTheEarlierTerm() {
    final OrderLease a = lease();
    final OrderLease b = lease();
    a.acquire().get();
    assertEquals(2, b.acquire().get());
    assertEquals(2, b.checkOrder(false, NEEDED_MS).get());
    while (b.checkOrder(true, NEEDED_MS).isLeft()) {
      long wait = b.checkOrder(true, NEEDED_MS).getLeft().retryAfterMs();
      run(Math.max(1, Math.min(wait, PauseDetector.TICK_MS)));
      b.acquire();
      assertFalse(
          a.checkOrder(true, 0).isRight() && b.checkOrder(true, 0).isRight(),
          "both may give orders");
    }
    assertTrue(a.checkOrder(true, 0).isLeft());
  }

  /** Guards against an unnecessary wait after a planned stop or for a term that ended long ago. */
  @Test
  void newHolderDoesNotWaitForEndedLease() {
    OrderLease a = lease();
    a.acquire().get();
    a.release();
    OrderLease b = lease();
    b.acquire().get();
    assertTrue(b.checkOrder(true, NEEDED_MS).isRight());
    run(OrderLease.TERM_MS + OrderLease.MAX_CLOCK_SKEW_MS + 250);
    OrderLease c = lease();
    c.acquire().get();
    assertTrue(c.checkOrder(true, NEEDED_MS).isRight());
  }

  /** Guards against two holders with the same fencing number after concurrent acquisitions. */
  @Test
  void onlyOneOfTwoConcurrentAcquisitionsSucceeds() {
    OrderLease b = lease();
    OrderLease a =
        new OrderLease(
            table,
            clock,
            new PauseDetector(clock),
            "s1",
            () -> {
              // The other process commits between this one's read and its transaction.
              b.acquire();
              return "slow";
            });
    assertEquals(ErrorKind.CONFLICT, a.acquire().getLeft().kind());
    assertEquals(ErrorKind.NOT_READY, kindOf(a, false));
    assertEquals(1, b.checkOrder(false, NEEDED_MS).get());
  }

  /** Guards against a lease that the table holds for a process that considers it not acquired. */
  @Test
  void lostAnswerIsReadBackByToken() {
    table.loseResponses(1);
    OrderLease a = lease();
    assertEquals(1, a.acquire().get());
    assertEquals(1, a.checkOrder(false, NEEDED_MS).get());
  }

  /** Guards against treating a conflict whose response was lost as success. */
  @Test
  void lostAnswerOfConflictIsConflict() {
    OrderLease b = lease();
    OrderLease a =
        new OrderLease(
            table,
            clock,
            new PauseDetector(clock),
            "s1",
            () -> {
              b.acquire();
              table.loseResponses(1);
              return "slow";
            });
    assertEquals(ErrorKind.CONFLICT, a.acquire().getLeft().kind());
  }

  /** Guards against orders without a lease while the table is unavailable. */
  @Test
  void outageGivesNoLeaseAndDoesNotEndTheOneThatIsHeld() {
    OrderLease a = lease();
    table.setOutage(true);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, a.acquire().getLeft().kind());
    table.setOutage(false);
    a.acquire().get();
    table.setOutage(true);
    assertEquals(1, a.acquire().get());
    assertEquals(1, a.checkOrder(false, NEEDED_MS).get());
    run(OrderLease.TERM_MS);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, a.acquire().getLeft().kind());
  }

  /** Guards against more than two simultaneous loads from a store. */
  @Test
  void storeHasTwoSlots() {
    final Slot first = slots("s1").acquire("w", 2).get().orElseThrow();
    Slot second = slots("s2").acquire("w", 2).get().orElseThrow();
    assertTrue(slots("s3").acquire("w", 2).get().isEmpty());
    assertTrue(slots("s3").acquire("other", 2).get().isPresent());
    slots("s2").release(second);
    assertTrue(slots("s3").acquire("w", 1).get().isEmpty());
    assertTrue(slots("s3").acquire("w", 2).get().isPresent());
    assertTrue(slots("s1").renew(first).get().isPresent());
  }

  /** Guards against a frozen server that takes or frees the slot of the next holder. */
  @Test
  void expiredSlotOfFrozenServerHasNoEffect() {
    LoadingSlots frozen = slots("s1");
    Slot old = frozen.acquire("w", 1).get().orElseThrow();
    clock.advance(LoadingSlots.TERM_MS + 2_001);
    assertFalse(frozen.isHeld(old));
    final Slot next = slots("s2").acquire("w", 1).get().orElseThrow();
    assertTrue(frozen.renew(old).get().isEmpty());
    frozen.release(old);
    assertTrue(slots("s3").acquire("w", 1).get().isEmpty());
    assertTrue(slots("s2").renew(next).get().isPresent());
  }

  /** Guards against losing a slot when the response to its transaction is lost. */
  @Test
  void slotWithLostAnswerIsReadBack() {
    LoadingSlots s = slots("s1");
    table.loseResponses(1);
    Slot slot = s.acquire("w", 2).get().orElseThrow();
    table.loseResponses(1);
    assertEquals(slot.version() + 1, s.renew(slot).get().orElseThrow().version());
    table.setOutage(true);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, s.acquire("w", 2).getLeft().kind());
  }

  private OrderLease shared(String token) {
    PauseDetector pauses = new PauseDetector(clock);
    detectors.add(pauses);
    OrderLease.Terms terms = new OrderLease.Terms(2_000, 3_000, 3_000, true);
    return new OrderLease(table, clock, pauses, "s1", () -> token + tokens++, terms, clock::wallMs);
  }

  /**
   * Guards against two processes that keep taking the lease from each other, so that neither can
   * send orders.
   */
  @Test
  void leaseOnSharedClockIsNotTakenBeforeItsTermEnds() {
    OrderLease a = shared("a");
    OrderLease b = shared("b");
    assertEquals(1, a.acquire().get());
    assertEquals(ErrorKind.CONFLICT, b.acquire().getLeft().kind());
    assertEquals(1, a.checkOrder(true, 500).get());
    run(2_000);
    assertEquals(2, b.acquire().get());
    assertEquals(ErrorKind.NOT_READY, kindOf(a, true));
  }

  /** Guards against orders of a new holder within the margin after the earlier term. */
  @Test
  void newHolderWaitsForTheMarginAfterTheEarlierTerm() {
    OrderLease a = shared("a");
    OrderLease b = shared("b");
    assertEquals(1, a.acquire().get());
    run(2_000);
    assertEquals(2, b.acquire().get());
    long waitMs = b.checkOrder(true, 500).getLeft().retryAfterMs();
    assertEquals(3_000, waitMs);
    run(2_750);
    b.acquire();
    assertEquals(ErrorKind.NOT_READY, kindOf(b, true));
    run(250);
    b.acquire();
    assertTrue(b.checkOrder(true, 500).isRight());
  }

  /** Guards against an unnecessary wait for a holder whose term and margin have passed. */
  @Test
  void termThatEndedBeforeTheMarginIsNotWaitedFor() {
    shared("a").acquire();
    run(5_250);
    OrderLease b = shared("b");
    b.acquire();
    assertTrue(b.checkOrder(true, 500).isRight());
  }
}

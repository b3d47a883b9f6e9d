package org.cowslipyoke.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that crash one server after another, and against rejecting requests that
 * only ran on the same servers.
 */
class CrashSuspectsTest {

  private static final long BAD = 1;
  private static final long GOOD = 2;

  /** Duration of a run and delivery time of a report, in milliseconds. */
  private static final long RUN_MS = 40;

  private final ManualClock clock = new ManualClock();
  private final List<CrashSuspects> entries = new ArrayList<>();

  private CrashSuspectsTest() {
    for (int i = 0; i < 4; i++) {
      entries.add(new CrashSuspects(clock));
    }
  }

  private CrashSuspects entry(int i) {
    return entries.get(i);
  }

  /** Runs requests, by entry, on one server until it crashes. */
  private void crash(String server, Map<Long, Integer> entryOf) {
    long startMs = clock.nowMs();
    clock.advance(RUN_MS);
    entryOf.forEach((request, e) -> entry(e).recordCrash(request, server, startMs));
    clock.advance(RUN_MS);
  }

  private void report(BooleanSupplier arrives) {
    for (CrashSuspects from : entries) {
      Optional<SuspectReport> r = from.nextReport();
      for (CrashSuspects to : entries) {
        if (to != from && r.isPresent() && arrives.getAsBoolean()) {
          to.accept(r.get());
        }
      }
    }
  }

  private void report() {
    report(() -> true);
  }

  private void reportAfterInterval() {
    clock.advance(CrashSuspects.REPORT_INTERVAL_MS);
    report();
  }

  private boolean held(int e, long request) {
    return entry(e).verdict(request).isHeld();
  }

  @Test
  void crashesAtThreeEntriesHoldRequestAtFourthEntry() {
    for (int i = 0; i < 3; i++) {
      assertFalse(held(3, BAD));
      crash("s" + i, Map.of(BAD, i));
      report();
    }
    for (int e = 0; e < 4; e++) {
      assertEquals(CrashSuspects.FIRST_HOLD_MS - RUN_MS, entry(e).verdict(BAD).holdMs());
    }
  }

  @Test
  void twoCrashesDoNotHoldRequest() {
    crash("s1", Map.of(BAD, 0));
    crash("s2", Map.of(BAD, 1));
    crash("s2", Map.of(BAD, 2));
    reportAfterInterval();
    for (int e = 0; e < 4; e++) {
      assertEquals(new CrashSuspects.Verdict(2, 0), entry(e).verdict(BAD));
    }
  }

  /** Many requests fail at one crash; their retries, also those of callers, fail at the next. */
  @Test
  void concurrentRequestsOfTwoUnrelatedCrashesAreServed() {
    Map<Long, Integer> fifty = new HashMap<>();
    for (long r = 100; r < 150; r++) {
      fifty.put(r, (int) r % 4);
    }
    crash("s1", fifty);
    report();
    crash("s2", fifty);
    report();
    for (long r : fifty.keySet()) {
      for (int e = 0; e < 4; e++) {
        assertFalse(held(e, r));
      }
      assertEquals(2, entry(0).completed(r));
    }
    report();
    crash("s3", fifty);
    reportAfterInterval();
    fifty.keySet().forEach(r -> assertFalse(held(1, r)));
  }

  @Test
  void completeResponseAtOneEntryClearsRequestAtAllEntries() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(GOOD, i));
    }
    report();
    assertTrue(held(3, GOOD));
    assertEquals(3, entry(2).completed(GOOD));
    assertEquals(0, entry(2).completed(GOOD));
    report();
    for (int e = 0; e < 4; e++) {
      assertFalse(held(e, GOOD));
    }
  }

  /**
   * Guards against rejecting a request for good that shared three crashes with another by chance.
   */
  @Test
  void crashesAreAttributedToRequestWithMostCrashes() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, 0, GOOD, 1));
    }
    report();
    assertTrue(held(2, BAD));
    crash("s3", Map.of(BAD, 3));
    report();
    for (int e = 0; e < 4; e++) {
      assertTrue(held(e, BAD));
      assertFalse(held(e, GOOD));
    }
  }

  /** Guards against counting connection resets as crashes although the server is still running. */
  @Test
  void laterResponseOfServerRefutesCrash() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(GOOD, 0));
    }
    long lostMs = clock.nowMs() - RUN_MS;
    report();
    entry(1).recordResponse("s2", lostMs - 1);
    assertTrue(held(1, GOOD));
    clock.advance(2 * CrashSuspects.MAX_REPORT_DELAY_MS);
    entry(1).recordResponse("s2", lostMs + CrashSuspects.MAX_REPORT_DELAY_MS + 1);
    assertFalse(held(1, GOOD));
    assertTrue(held(2, GOOD));
    reportAfterInterval();
    for (int e = 0; e < 4; e++) {
      assertFalse(held(e, GOOD), "entry " + e);
    }
  }

  /**
   * Guards against counting a server as alive that crashed and restarted under its id before the
   * list of servers showed it.
   */
  @Test
  void responseOfRestartedServerDoesNotRefuteCrash() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, 0));
    }
    report();
    clock.advance(3_000);
    entry(0).recordResponse("s2", clock.nowMs() - RUN_MS);
    entry(1).recordContent("s1");
    report();
    for (int e = 0; e < 4; e++) {
      assertTrue(held(e, BAD), "entry " + e);
    }
  }

  /** Guards against holding a request because of connections that were reset more than once. */
  @Test
  void eachOfTwoLossesOfLiveServerIsRefuted() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(GOOD, 0));
    }
    clock.advance(CrashSuspects.MAX_RECEIVE_DELAY_MS + 1);
    entry(0).recordContent("s2");
    assertFalse(held(0, GOOD));
    clock.advance(10_000);
    crash("s2", Map.of(BAD, 0));
    clock.advance(CrashSuspects.MAX_RECEIVE_DELAY_MS + 1);
    entry(0).recordContent("s2");
    assertEquals(0, entry(0).verdict(BAD).crashes());
  }

  /** Guards against taking bytes sent before a crash but read after it as proof of liveness. */
  @Test
  void bufferedBytesDoNotRefuteCrash() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(GOOD, 0));
    }
    clock.advance(CrashSuspects.MAX_RECEIVE_DELAY_MS - RUN_MS);
    entry(0).recordContent("s2");
    assertTrue(held(0, GOOD));
    clock.advance(1);
    entry(0).recordContent("s2");
    assertFalse(held(0, GOOD));
  }

  /** Guards against rejecting a request with many concurrent copies when all servers lose power. */
  @Test
  void concurrentCopiesCountAsOneCrash() {
    long startMs = clock.nowMs();
    clock.advance(RUN_MS);
    for (int i = 0; i < 6; i++) {
      entry(i % 4).recordCrash(GOOD, "s" + i, startMs + i);
    }
    report();
    assertEquals(new CrashSuspects.Verdict(1, 0), entry(0).verdict(GOOD));
  }

  @Test
  void laterReportsCompensateForLostReports() {
    long seed = 7;
    Random random = new Random(seed);
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, i));
      report(() -> random.nextInt(10) >= 3);
    }
    report(() -> false);
    long lastMs = clock.nowMs();
    while (!held(3, BAD) && clock.nowMs() - lastMs < 3_000) {
      clock.advance(CrashSuspects.REPORT_INTERVAL_MS);
      report(() -> random.nextInt(10) >= 3);
    }
    assertTrue(held(3, BAD), "seed " + seed);
  }

  /** Guards against entries losing their suspects when they are killed. */
  @Test
  void restartedEntryRecoversSuspectsFromReports() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, 0));
      report();
    }
    entries.set(0, new CrashSuspects(clock));
    assertFalse(held(0, BAD));
    reportAfterInterval();
    assertTrue(held(0, BAD));
    assertEquals(entry(1).verdict(BAD), entry(0).verdict(BAD));
  }

  /** Guards against a partitioned entry restoring a suspect that the others have cleared. */
  @Test
  void clearanceReachesEntryAfterPartition() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(GOOD, 0));
    }
    report();
    entry(1).completed(GOOD);
    clock.advance(CrashSuspects.ANNOUNCE_MS + 1);
    reportAfterInterval();
    reportAfterInterval();
    for (int e = 0; e < 4; e++) {
      assertFalse(held(e, GOOD), "entry " + e);
    }
  }

  /** Guards against rejecting a request for ever, and against running it too often. */
  @Test
  void holdExpiresAndGrowsAfterNextCrash() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, 0));
    }
    report();
    clock.adjustWallClock(-86_400_000);
    clock.advance(CrashSuspects.FIRST_HOLD_MS);
    assertFalse(held(1, BAD));
    crash("s3", Map.of(BAD, 1));
    report();
    clock.advance(5 * CrashSuspects.FIRST_HOLD_MS);
    assertTrue(held(0, BAD));
    clock.advance(5 * CrashSuspects.FIRST_HOLD_MS);
    assertFalse(held(0, BAD));
    clock.advance(CrashSuspects.CRASH_RETENTION_MS);
    reportAfterInterval();
    assertEquals(0, entry(0).verdict(BAD).crashes());
    assertTrue(entry(0).isEmpty());
  }

  /** Guards against memory use that grows with the number of crashes. */
  @Test
  void oldestSuspectsAreEvictedFirstAndHeldSuspectsLast() {
    CrashSuspects e = entry(0);
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, 0));
    }
    crash("s3", Map.of(GOOD, 0));
    for (long r = 100; r < 99 + CrashSuspects.MAX_REQUESTS; r++) {
      e.recordCrash(r, "s4", clock.nowMs());
      clock.advance(1);
    }
    assertTrue(held(0, BAD));
    assertEquals(0, e.verdict(GOOD).crashes());
    assertEquals(1, e.verdict(100).crashes());
    e.recordCrash(50, "s4", clock.nowMs());
    assertEquals(0, e.verdict(100).crashes());
    assertTrue(held(0, BAD));
  }

  @Test
  void reportSizeIsBoundedAndListsMostCrashesFirst() {
    for (int i = 0; i < 3; i++) {
      crash("s" + i, Map.of(BAD, 0));
    }
    for (long r = 100; r < 1_000; r++) {
      entry(0).recordCrash(r, "i-0123456789@1767844358695-" + r, clock.nowMs());
    }
    SuspectReport r = entry(0).nextReport().orElseThrow();
    List<CrashedRun> runs = r.crashes().values().stream().flatMap(List::stream).toList();
    assertTrue(runs.size() < 500, runs.size() + " runs");
    assertEquals(3, runs.stream().filter(x -> x.fingerprint() == BAD).count());
  }

  @Test
  void fingerprintDependsOnOrganisationPathAndBody() {
    byte[] body = {1, 2};
    long f = CrashSuspects.fingerprint("o", "POST", "h", "/a/b", body);
    assertEquals(f, CrashSuspects.fingerprint("o", "POST", "h", "/a/b", new byte[] {1, 2}));
    assertNotEquals(f, CrashSuspects.fingerprint("p", "POST", "h", "/a/b", body));
    assertNotEquals(f, CrashSuspects.fingerprint(null, "POST", "h", "/a/b", body));
    assertNotEquals(f, CrashSuspects.fingerprint("o", "POST", "h", "/a/c", body));
    assertNotEquals(f, CrashSuspects.fingerprint("o", "POST", "h", "/a/b", new byte[] {1, 3}));
  }
}

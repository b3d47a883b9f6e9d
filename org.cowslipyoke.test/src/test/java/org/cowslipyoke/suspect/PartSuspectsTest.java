package org.cowslipyoke.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.transport.PartReportCodec;
import org.cowslipyoke.util.MalformedResponseException;
import org.junit.jupiter.api.Test;

/** Guards against a prompt part that crashes servers with ever new requests. */
class PartSuspectsTest {

  private static final long BAD = 1;
  private static final long FIRST = 2;
  private static final long SESSION = 3;

  /** Time between sending a prompt and the loss of its server, in milliseconds. */
  private static final long RUN_MS = 300;

  private final ManualClock clock = new ManualClock();
  private final List<CrashSuspects> entries = new ArrayList<>();

  private PartSuspectsTest() {
    for (int i = 0; i < 4; i++) {
      entries.add(new CrashSuspects(clock));
    }
  }

  private PartSuspects entry(int i) {
    return entries.get(i).parts();
  }

  private void crash(int entry, String server, Long... parts) {
    long startMs = clock.nowMs();
    clock.advance(RUN_MS);
    entry(entry).recordLoss(List.of(parts), server, startMs);
  }

  private void begin(int entry, Long... parts) {
    clock.advance(1);
    entry(entry).recordBegun(List.of(parts));
  }

  private void report() {
    for (CrashSuspects from : entries) {
      Optional<PartReport> r = from.parts().nextReport();
      for (CrashSuspects to : entries) {
        if (to != from && r.isPresent()) {
          to.parts().accept(r.get());
        }
      }
    }
  }

  private void reportAfterInterval() {
    clock.advance(CrashSuspects.REPORT_INTERVAL_MS);
    report();
  }

  private boolean held(int e, Long... parts) {
    return entry(e).holdOf(List.of(parts)).isPresent();
  }

  @Test
  void differentRequestsWithOnePartHoldItAtAllEntries() {
    for (int i = 0; i < 3; i++) {
      assertFalse(held(3, BAD));
      crash(i, "s" + i, 100L + i, BAD);
      report();
    }
    for (int e = 0; e < 4; e++) {
      PartSuspects.Hold h = entry(e).holdOf(List.of(200L, BAD)).orElseThrow();
      assertEquals(Set.of(BAD), h.parts());
      assertEquals(CrashSuspects.FIRST_HOLD_MS, h.untilMs() - clock.nowMs());
      assertFalse(held(e, 100L));
    }
  }

  @Test
  void twoServersDoNotHoldPart() {
    crash(0, "s1", BAD);
    crash(1, "s2", BAD);
    crash(2, "s2", BAD);
    report();
    for (int e = 0; e < 4; e++) {
      assertFalse(held(e, BAD));
    }
  }

  /** Guards against refusing sound prompts that share a caller's session with the deadly ones. */
  @Test
  void partsOfSameCrashesAreHeldOnlyTogether() {
    for (int i = 0; i < 3; i++) {
      crash(i, "s" + i, SESSION, BAD);
      report();
    }
    assertTrue(held(0, SESSION, BAD));
    assertFalse(held(0, SESSION));
    assertFalse(held(0, 100L, BAD));
    begin(3, SESSION);
    report();
    for (int e = 0; e < 4; e++) {
      assertFalse(held(e, SESSION));
      assertTrue(held(e, 100L, BAD));
    }
  }

  /** Guards against a popular part that is blamed for the crashes of the prompts that hold it. */
  @Test
  void begunResponsesExoneratePart() {
    for (int i = 0; i < 6; i++) {
      crash(i % 4, "s" + i, FIRST, BAD);
      begin(3, FIRST);
      report();
    }
    for (int e = 0; e < 4; e++) {
      assertTrue(held(e, FIRST, BAD));
      assertTrue(held(e, 100L, BAD));
      assertFalse(held(e, FIRST, 100L));
    }
  }

  /** Guards against protecting a part whose content became deadly after it had been sound. */
  @Test
  void earlierBegunResponsesDoNotProtectPart() {
    begin(0, BAD);
    for (int i = 0; i < 3; i++) {
      crash(i, "s" + i, BAD);
      report();
    }
    assertTrue(held(3, BAD));
  }

  /** Guards against refusing a popular part because many of its prompts wait in a lost domain. */
  @Test
  void simultaneousLossDoesNotHoldPartThatWasSoundBefore() {
    begin(0, FIRST);
    long startMs = clock.nowMs() + 1;
    clock.advance(RUN_MS);
    for (int i = 0; i < 6; i++) {
      clock.advance(PartSuspects.SIMULTANEOUS_MS / 6);
      entry(0).recordLoss(List.of(FIRST), "s" + i, startMs);
    }
    assertFalse(held(0, FIRST));
  }

  /** Guards against losing all servers at once to many prompts with the same unknown part. */
  @Test
  void simultaneousLossHoldsPartThatNeverBegan() {
    long startMs = clock.nowMs();
    clock.advance(RUN_MS);
    for (int i = 0; i < 3; i++) {
      entry(0).recordLoss(List.of(BAD), "s" + i, startMs);
    }
    assertTrue(held(0, BAD));
  }

  /** Guards against counting reset connections as crashes. */
  @Test
  void partIsReleasedWhenItsServersAnswerLater() {
    for (int i = 0; i < 3; i++) {
      crash(0, "s" + i, FIRST);
    }
    assertTrue(held(0, FIRST));
    clock.advance(CrashSuspects.MAX_RECEIVE_DELAY_MS + 1);
    entries.get(0).recordContent("s2");
    reportAfterInterval();
    assertFalse(held(0, FIRST));
  }

  /** Guards against entries losing the held parts when they are killed. */
  @Test
  void restartedEntryRecoversHoldFromReports() {
    for (int i = 0; i < 3; i++) {
      crash(0, "s" + i, BAD);
      report();
    }
    clock.advance(5 * CrashSuspects.ANNOUNCE_MS);
    entries.set(0, new CrashSuspects(clock));
    assertFalse(held(0, BAD));
    reportAfterInterval();
    assertTrue(held(0, BAD));
  }

  /**
   * Guards against reports that can't be decoded or are misread: another entry may send a prompt to
   * a server after the first one has observed its loss.
   */
  @Test
  void runThatStartedAfterTheLossIsNotReported() throws MalformedResponseException {
    crash(0, "s0", BAD);
    clock.advance(10);
    crash(0, "s0", BAD);
    PartReport r = entry(0).nextReport().orElseThrow();
    byte[] bytes = PartReportCodec.encode(r);
    assertEquals(r, PartReportCodec.decode(bytes, bytes.length));
    assertEquals(RUN_MS, r.crashes().getOrDefault("s0", List.of()).get(0).ranMs());
  }

  /** Guards against reports that repeat everything known at each change. */
  @Test
  void changesAreReportedAlone() {
    crash(0, "s0", BAD);
    clock.advance(1);
    report();
    crash(0, "s1", SESSION);
    PartReport r = entry(0).nextReport().orElseThrow();
    assertEquals(Set.of("s1"), r.crashes().keySet());
    assertEquals(Optional.empty(), entry(0).nextReport());
    clock.advance(CrashSuspects.REPORT_INTERVAL_MS);
    assertEquals(Set.of("s0", "s1"), entry(0).nextReport().orElseThrow().crashes().keySet());
  }

  /** Guards against refusing a part for ever, and against crashing servers with it too often. */
  @Test
  void holdExpiresAndGrowsAfterNextCrash() {
    for (int i = 0; i < 3; i++) {
      crash(0, "s" + i, BAD);
    }
    report();
    clock.advance(CrashSuspects.FIRST_HOLD_MS);
    assertFalse(held(1, BAD));
    crash(1, "s3", BAD);
    report();
    clock.advance(CrashSuspects.FIRST_HOLD_MS * 9);
    assertTrue(held(0, BAD));
    clock.advance(CrashSuspects.FIRST_HOLD_MS + CrashSuspects.CRASH_RETENTION_MS);
    assertFalse(held(0, BAD));
    clock.advance(10 * CrashSuspects.FIRST_HOLD_MS);
    reportAfterInterval();
    assertTrue(entry(0).isEmpty());
  }

  /** Guards against holding a sound request that only ran beside prompts with a deadly part. */
  @Test
  void crashesOfHeldPartAreNotAttributedToOtherRequests() {
    long sound = 77;
    for (int i = 0; i < 3; i++) {
      long startMs = clock.nowMs();
      crash(0, "s" + i, BAD);
      entries.get(0).recordCrash(sound, "s" + i, startMs);
    }
    assertTrue(held(0, BAD));
    assertFalse(entries.get(0).verdict(sound).isHeld());
  }

  @Test
  void twoDeadlyPartsAreHeldSeparately() {
    for (int i = 0; i < 3; i++) {
      crash(0, "a" + i, BAD);
      crash(1, "b" + i, SESSION);
      report();
    }
    assertTrue(held(2, BAD));
    assertTrue(held(2, SESSION));
    assertFalse(held(2, FIRST));
  }

  /** Guards against memory and datagrams that grow with the number of crashes. */
  @Test
  void storedPartsAndReportsAreBounded() {
    for (int i = 0; i < 3; i++) {
      crash(0, "s" + i, BAD);
    }
    for (long part = 100; part < 100 + 2 * PartSuspects.MAX_PARTS; part++) {
      entry(0).recordLoss(List.of(part), "i-0123456789@1767844358695-" + part, clock.nowMs());
      clock.advance(1);
    }
    assertTrue(held(0, BAD));
    PartReport r = entry(0).nextReport().orElseThrow();
    assertTrue(r.crashes().size() < 300, r.crashes().size() + " servers");
    assertTrue(r.crashes().containsKey("s0"));
  }
}

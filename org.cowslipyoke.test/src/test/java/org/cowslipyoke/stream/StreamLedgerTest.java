package org.cowslipyoke.stream;

import static org.cowslipyoke.stream.StreamEntry.SERVICE;
import static org.cowslipyoke.stream.StreamEntry.TAKE_UP_MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.fake.FakeStreamTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.BackendServer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two entries on one table, in the orders of events that matter for the version of a stream. */
class StreamLedgerTest {

  private static final String UNKNOWN = "unknown";

  private final ManualClock clock = new ManualClock();
  private final FakeStreamTable table = new FakeStreamTable(clock::nowMs);
  private final StreamEntry first = new StreamEntry(clock, table, 0);
  private final StreamEntry second = new StreamEntry(clock, table, 1);
  private final Map<String, BackendServer> servers = new HashMap<>();

  @BeforeEach
  void serveOneVersion() {
    join("v1");
    run(StreamVersions.TERM_MS + TAKE_UP_MS + 2_000, first, second);
  }

  private void join(String version) {
    StreamEntry.servers(version, 2).forEach(s -> servers.put(s.id(), s));
  }

  private void run(long ms, StreamEntry... entries) {
    for (long endMs = clock.nowMs() + ms; clock.nowMs() < endMs; clock.advance(50)) {
      List.of(entries).forEach(e -> e.run(servers));
    }
  }

  /** Begins a stream and returns whether its first event may be passed on. */
  private static CompletableFuture<Boolean> begin(
      StreamEntry e, String request, int attempt, String version) {
    return e.ledger.begin(SERVICE, request, attempt, version, false).firstEvent();
  }

  private static String find(StreamEntry e, @Nullable String request) {
    return e.ledger.find(SERVICE, request).join().getOrElse(UNKNOWN);
  }

  /** Guards against an unrecorded first event by a process that was frozen beyond its term. */
  @Test
  void freezeBeyondTheTermBeforeTheFirstEventNeedsRecord() {
    StreamOrigins.Beginning stream = first.ledger.begin(SERVICE, "r", 1, "v1", false);
    assertEquals(0, table.recordCount(), "streams of the baseline need no record");
    clock.advance(StreamVersions.TERM_MS + 1);
    CompletableFuture<Boolean> permitted = stream.firstEvent();
    assertFalse(permitted.isDone(), "the first event was permitted on an expired copy");
    first.flush();
    assertTrue(permitted.join());
    assertEquals(1, table.recordCount());
  }

  /**
   * Guards against a new baseline that takes effect while an entry that has not read it begins
   * streams of the old one, or while these are taken up. The write of the new baseline is late by 6
   * s, as the table may perform it, and by a pause of 2 s, which is not noticed.
   */
  @Test
  void lateChangeOfBaselineWithinTermOfAnotherEntry() {
    servers.clear();
    join("v2");
    table.delayWrite(8_000);
    while (table.lateWrites() == 0) {
      run(50, first, second);
    }
    Map<String, Long> unrecorded = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      second.pauses.tick();
      if (table.lateWrites() > 0) {
        second.client.readClock();
        second.versions.update(
            second.client.readBaselines().get(), clock.nowMs(), second.pauses.pauseCount());
      }
      CompletableFuture<Boolean> permitted = begin(second, "r" + i, 1, "v1");
      if (permitted.isDone() && permitted.join()) {
        unrecorded.put("r" + i, clock.nowMs());
      }
      clock.advance(50);
      StreamEntry fresh = new StreamEntry(clock, table, 2);
      fresh.client.readClock();
      unrecorded.values().removeIf(atMs -> clock.nowMs() - atMs > 2 * StreamEntry.ROUTE_MS);
      unrecorded.forEach((r, atMs) -> assertEquals("v1", find(fresh, r), "begun at " + atMs));
    }
    assertEquals("v2", find(first, "other"), "the baseline never changed");
  }

  /** Guards against a record of an abandoned attempt that hides the one that brought events. */
  @Test
  void attemptAtTheBaselineAfterAnotherVersionIsRecorded() {
    join("v2");
    var unused = first.ledger.begin(SERVICE, "r", 1, "v2", false);
    CompletableFuture<Boolean> permitted = begin(first, "r", 2, "v1");
    assertFalse(permitted.isDone());
    first.flush();
    assertTrue(permitted.join());
    assertEquals("v1", find(second, "r"));
  }

  /** Guards against an event before its record, and against a late record of an older attempt. */
  @Test
  void lateWriteOfAnOlderAttemptChangesNothing() {
    join("v2");
    table.delayWrite(6_000);
    CompletableFuture<Boolean> older = begin(first, "r", 1, "v2");
    first.flush();
    assertFalse(older.isDone(), "the first event was permitted without an answer of the table");
    table.setOutage(true);
    run(2_200, first, second);
    assertFalse(older.join(), "a record that came too late counts");
    assertTrue(
        first.ledger.permitted(SERVICE, StreamEntry.servers("v2", 1)).isEmpty(),
        "streams that need a record begin while none can be written");
    table.setOutage(false);
    run(1_000, first, second);
    assertTrue(first.ledger.permitted(SERVICE, StreamEntry.servers("v2", 1)).size() == 1);
    CompletableFuture<Boolean> newer = begin(first, "r", 2, "v1");
    run(100, first, second);
    assertTrue(newer.join());
    run(6_000, first, second);
    assertEquals(2, table.recordCount("r"), "the late write was not applied");
    assertEquals("v1", find(second, "r"));
  }

  /** Guards against a guess where the caller names no request and two versions serve. */
  @Test
  void takeUpWithoutRequestNeedsOneVersion() {
    assertEquals("v1", find(second, null));
    join("v2");
    run(1_000, first, second);
    assertEquals(UNKNOWN, find(second, null));
  }

  /** Guards against a guess after a return, and against streams that nobody takes up after it. */
  @Test
  void streamsAreRecordedAgainAfterTheReturnOfTheTable() {
    join("v2");
    run(1_000, first, second);
    table.copy();
    final CompletableFuture<Boolean> recorded = begin(first, "r2", 1, "v2");
    assertTrue(begin(first, "r1", 1, "v1").join());
    assertTrue(begin(second, "forgotten", 1, "v1").join());
    run(100, first, second);
    assertTrue(recorded.join());
    table.returnFromCopy(20_000);
    final StreamEntry restarted = new StreamEntry(clock, table, 1);
    run(50, restarted);
    assertEquals(List.of(UNKNOWN, UNKNOWN), List.of(find(restarted, "r1"), find(restarted, "r2")));
    run(4_000, first, restarted);
    assertEquals(List.of("v1", "v2"), List.of(find(restarted, "r1"), find(restarted, "r2")));
    assertEquals(UNKNOWN, find(restarted, "forgotten"));
    assertFalse(begin(first, "r3", 1, "v1").isDone(), "unrecorded in an era without a baseline");
    run(StreamVersions.TERM_MS + TAKE_UP_MS, first, restarted);
    assertEquals("v1", find(restarted, "unrecorded"), "no baseline in the new era");
  }

  /** Guards against a record whose later attempt the table has lost. */
  @Test
  void recordOfAnAbandonedAttemptIsNoAnswerAfterTheReturn() {
    join("v2");
    run(1_000, first, second);
    var unused = first.ledger.begin(SERVICE, "r", 1, "v2", false);
    first.flush();
    table.copy();
    CompletableFuture<Boolean> permitted = begin(first, "r", 2, "v1");
    first.flush();
    assertTrue(permitted.join());
    table.returnFromCopy(0);
    second.run(servers);
    String found = find(second, "r");
    assertTrue(List.of("v1", UNKNOWN).contains(found), "begun at v1, goes on at " + found);
  }

  /** Guards against a first baseline that gives a meaning to streams of an era that was lost. */
  @Test
  void firstBaselineAfterTheReturnSettlesForEntriesThatSawNoReturn() {
    assertTrue(begin(first, "r", 1, "v1").join());
    // Nothing was copied since the table was empty; both entries are killed and v1 leaves.
    table.returnFromCopy(0);
    servers.clear();
    join("v2");
    StreamEntry restarted = new StreamEntry(clock, table, 0);
    run(1_000, restarted);
    String found = find(restarted, "r");
    assertTrue(List.of("v1", UNKNOWN).contains(found), "begun at v1, goes on at " + found);
  }
}

package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.platform.TransactionalTable.CommitStatus;
import org.cowslipyoke.platform.TransactionalTable.Write;
import org.cowslipyoke.standin.StandIn;
import org.cowslipyoke.standin.StandInKind;
import org.junit.jupiter.api.Test;

class TableClientTest extends HttpFixture {

  private final StandIn standIn = start(StandInKind.TABLE, "{}");
  private final HttpTransactionalTable table =
      new HttpTransactionalTable(connector, standIn.baseUri(), TIMEOUT_MS);

  private CommitStatus put(String key, long version) {
    return table.commit(List.of(Write.put(key, version, "{\"é\":\"\\u0001\"}"))).status();
  }

  /** Guards against values or versions that change on the wire. */
  @Test
  void rowsComeBackAsWritten() {
    assertEquals(CommitStatus.COMMITTED, put("a/1", 0));
    assertEquals(CommitStatus.COMMITTED, put("a/1", 1));
    assertEquals(CommitStatus.COMMITTED, put("b/1", 0));
    var row = table.read("a/1").get().orElseThrow();
    assertEquals(2, row.version());
    assertEquals("{\"é\":\"\\u0001\"}", row.value());
    assertEquals(1, table.scan("a/", 10).get().size());
    assertTrue(table.read("a/2").get().isEmpty());
  }

  /** Guards against half of a transaction being applied. */
  @Test
  void conflictNamesTheRowAndAppliesNothing() {
    put("a", 0);
    var c = table.commit(List.of(Write.put("new", 0, "{}"), Write.put("a", 7, "{}")));
    assertEquals(CommitStatus.CONFLICT, c.status());
    assertEquals(List.of("a"), c.conflicts());
    assertTrue(table.read("new").get().isEmpty());
  }

  /** Guards against a deleted or expired row that is still read. */
  @Test
  void deletedAndExpiredRowsAreGone() {
    put("a", 0);
    table.commit(List.of(new Write("a", 1, Optional.empty(), 0)));
    assertTrue(table.read("a").get().isEmpty());
    table.commit(List.of(new Write("t", 0, Optional.of("{}"), 1)));
    await(() -> table.read("t").get().isEmpty());
    assertEquals(CommitStatus.COMMITTED, put("t", 0));
  }

  /** Guards against an applied write that is reported as not applied. */
  @Test
  void lostAnswerIsUnknownAndTheWriteIsApplied() {
    standIn.setFaults("{\"lostAnswers\": 1, \"path\": \"/v1/commit\"}");
    assertEquals(CommitStatus.UNKNOWN, put("a", 0));
    assertEquals(1, table.read("a").get().orElseThrow().version());
  }

  /** Guards against "unknown" where no byte was sent, which would block a repeat. */
  @Test
  void refusedConnectionIsNotApplied() {
    put("a", 0);
    refuse(standIn);
    assertEquals(CommitStatus.NOT_APPLIED, put("a", 1));
    assertEquals(ErrorKind.STORE_UNAVAILABLE, table.read("a").getLeft().kind());
    standIn.setFaults("{\"outage\": \"none\"}");
    await(() -> table.read("a").isRight());
    assertEquals(1, table.read("a").get().orElseThrow().version());
  }

  /** Guards against "not applied" after the request left. */
  @Test
  void resetConnectionIsUnknown() {
    standIn.setFaults("{\"outage\": \"reset\"}");
    await(() -> put("a", 0) == CommitStatus.UNKNOWN);
  }

  /** Guards against a table over its capacity whose refusal reads as unknown. */
  @Test
  void refusalOfAnOverloadedTableIsNotApplied() {
    StandIn slow = start(StandInKind.TABLE, "{\"writesPerSecond\": 1, \"maxQueueMs\": 0}");
    HttpTransactionalTable t = new HttpTransactionalTable(connector, slow.baseUri(), TIMEOUT_MS);
    t.commit(List.of(Write.put("a", 0, "{}")));
    assertEquals(CommitStatus.NOT_APPLIED, t.commit(List.of(Write.put("b", 0, "{}"))).status());
  }

  /** Guards against silent connections that use up the pool of two connections. */
  @Test
  void silentConnectionsAreReplaced() {
    HttpTransactionalTable quick = new HttpTransactionalTable(connector, standIn.baseUri(), 200);
    standIn.setFaults("{\"silent\": \"all\"}");
    for (int i = 0; i < 4; i++) {
      assertEquals(ErrorKind.STORE_UNAVAILABLE, quick.read("a").getLeft().kind());
    }
    standIn.setFaults("{\"silent\": \"none\"}");
    assertTrue(quick.read("a").isRight());
    standIn.setFaults("{\"silent\": \"open\"}");
    assertTrue(quick.read("a").isLeft());
    assertTrue(quick.read("a").isRight());
  }

  /** Guards against an answer that exhausts memory and against one that cannot be understood. */
  @Test
  void oversizeAndMalformedAnswersAreRefused() {
    standIn.setFaults("{\"oversizeAnswers\": 2, \"malformedAnswers\": 0}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, table.read("a").getLeft().kind());
    assertEquals(CommitStatus.UNKNOWN, put("a", 0));
    standIn.setFaults("{\"malformedAnswers\": 2}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, table.read("a").getLeft().kind());
    assertEquals(CommitStatus.UNKNOWN, put("a", 1));
    assertEquals(2, table.read("a").get().orElseThrow().version());
  }

  /** Guards against a call that outlives its deadline when the table is slow. */
  @Test
  void slowAnswerEndsAtTheDeadline() {
    HttpTransactionalTable quick = new HttpTransactionalTable(connector, standIn.baseUri(), 100);
    standIn.setFaults("{\"delayMs\": 3000}");
    long from = System.nanoTime();
    assertTrue(quick.read("a").isLeft());
    assertTrue(System.nanoTime() - from < 2_000_000_000L);
  }
}

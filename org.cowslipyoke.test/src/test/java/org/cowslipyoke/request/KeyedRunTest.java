package org.cowslipyoke.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cowslipyoke.request.RequestFixture.connectionReset;
import static org.cowslipyoke.request.RequestFixture.end;
import static org.cowslipyoke.request.RequestFixture.notSent;
import static org.cowslipyoke.request.RequestFixture.tokens;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cowslipyoke.claim.Claim;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second run of a request with an idempotency key, and against the outcome {@code
 * NOT_RUN} for a request that may have run.
 */
class KeyedRunTest {

  private static final ClaimDecision GRANTED =
      new ClaimDecision.Granted(new Claim("claim/a/b", "t", "d1", 0, 1));

  private static RequestFixture started() {
    RequestFixture f = RequestFixture.withIdempotencyKey();
    f.addActions(f.run.start());
    assertTrue(f.all(Action.ToServer.class).isEmpty(), "nothing is sent before the claim");
    return f.addActions(f.run.onClaim(GRANTED)).answerProbe();
  }

  @Test
  void recordsAnswerBeforeEnd() {
    RequestFixture f = started();
    f.message(f.channel(), tokens(0, "ok")).message(f.channel(), end(1, "ok"));
    assertEquals(1, f.all(Action.RecordCompletion.class).size());
    assertTrue(f.all(Action.Finish.class).isEmpty());
    f.addActions(f.run.onRecorded());
    assertEquals(1, f.all(Action.Finish.class).size());
  }

  @Test
  void answerEndsAfterTimeoutWithoutRecord() {
    RequestFixture f = started();
    f.message(f.channel(), tokens(0, "ok")).message(f.channel(), end(1, "ok"));
    f.tick(RequestStateMachine.RECORD_TIMEOUT_MS);
    assertEquals(1, f.all(Action.Finish.class).size());
  }

  @Test
  void lostServerGivesUnknownOutcomeAndOneStart() {
    RequestFixture f = started();
    f.closed(connectionReset());
    f.message(
        f.channel(),
        new Message.Failed(RequestFixture.ID, ErrorKind.NOT_FOUND, Outcome.UNKNOWN, ""));
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, f.refusal().kind());
    assertEquals(1, f.all(Action.Start.class).size());
    assertTrue(f.all(Action.RecordNotRun.class).isEmpty());
  }

  @Test
  void unreachableServerIsResumedSeveralTimesThenUnknown() {
    RequestFixture f = started();
    f.closed(connectionReset());
    for (int i = 0; i < 40 && !f.run.isDone(); i++) {
      f.addActions(f.run.onClosed(f.channel(), notSent())).tick(2_000);
    }
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, f.refusal().kind());
    assertEquals(RequestStateMachine.MAX_RESUMES_NON_IDEMPOTENT, f.all(Action.Resume.class).size());
    assertEquals(1, f.all(Action.Start.class).size());
  }

  @Test
  void refusedStartIsNotRunAndFreesTheKey() {
    RequestFixture f = started();
    f.message(f.channel(), new Message.Refused(ErrorKind.RESERVATION_EXPIRED, "", 0));
    assertEquals(Outcome.NOT_RUN, f.refusal().outcome());
    assertEquals(1, f.all(Action.RecordNotRun.class).size());
    assertEquals(1, f.all(Action.Start.class).size());
  }

  @Test
  void refusalOnResumedStreamIsNotRunUnlessTheRunHasBegun() {
    Message.Refused cold = new Message.Refused(ErrorKind.SERVER_COLD, "", 0);
    RequestFixture f = started();
    f.closed(connectionReset()).message(f.channel(), cold);
    assertEquals(Outcome.NOT_RUN, f.refusal().outcome());
    RequestFixture g = started();
    g.message(g.channel(), new Message.Started("v1", 0, 4)).closed(connectionReset());
    g.message(g.channel(), cold);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, g.refusal().kind());
  }

  @Test
  void crashIsNotRunAgain() {
    RequestFixture f = started();
    f.message(
        f.channel(),
        new Message.Failed(RequestFixture.ID, ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN, ""));
    assertEquals(ErrorKind.CRASHED_SERVERS, f.refusal().kind());
    assertEquals(1, f.all(Action.ReportCrash.class).size());
  }

  @Test
  void recordedAnswerIsReplayedAndRejectionPassedOn() {
    RequestFixture f = RequestFixture.withIdempotencyKey();
    f.addActions(f.run.start());
    f.addActions(f.run.onClaim(new ClaimDecision.Recorded("old".getBytes(UTF_8))));
    assertEquals("old", new String(f.last(Action.SendRecorded.class).recorded(), UTF_8));
    RequestFixture g = RequestFixture.withIdempotencyKey();
    g.addActions(g.run.start());
    Failure busy = Failure.of(ErrorKind.IN_PROGRESS, "");
    g.addActions(g.run.onClaim(new ClaimDecision.Rejected(busy)));
    assertEquals(busy, g.refusal());
    assertTrue(g.all(Action.ToServer.class).isEmpty());
  }

  @Test
  void claimGrantedAfterDeadlineIsFreed() {
    RequestFixture f = RequestFixture.withIdempotencyKey();
    f.addActions(f.run.start()).tick(60_000);
    assertEquals(Outcome.NOT_RUN, f.refusal().outcome());
    f.addActions(f.run.onClaim(GRANTED));
    assertEquals(1, f.all(Action.RecordNotRun.class).size());
    assertTrue(f.all(Action.ToServer.class).isEmpty());
  }

  @Test
  void answerIsRecordedAfterCallerHasGone() {
    RequestFixture f = started();
    f.addActions(f.run.onCallerGone());
    f.message(f.channel(), tokens(0, "ok")).message(f.channel(), end(1, "ok"));
    assertEquals("", f.relayed());
    assertEquals(1, f.all(Action.RecordCompletion.class).size());
  }

  @Test
  void deadlineWhileRunningIsUnknown() {
    RequestFixture f = started();
    f.tick(60_000);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, f.refusal().kind());
  }
}

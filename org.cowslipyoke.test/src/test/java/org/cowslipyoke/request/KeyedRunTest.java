package org.cowslipyoke.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cowslipyoke.request.RunFixture.broken;
import static org.cowslipyoke.request.RunFixture.end;
import static org.cowslipyoke.request.RunFixture.tokens;
import static org.cowslipyoke.request.RunFixture.unsent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cowslipyoke.claim.Claim;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.junit.jupiter.api.Test;

/** Guards against a second run of a request with an idempotency key, and false "not run". */
class KeyedRunTest {

  private static final ClaimDecision GRANTED =
      new ClaimDecision.Granted(new Claim("claim/a/b", "t", "d1", 0, 1));

  private static RunFixture started() {
    RunFixture f = RunFixture.keyed();
    f.take(f.run.start());
    assertTrue(f.all(Action.ToServer.class).isEmpty(), "nothing is sent before the claim");
    return f.take(f.run.onClaim(GRANTED)).offered();
  }

  @Test
  void recordsAnswerBeforeEnd() {
    RunFixture f = started();
    f.message(f.channel(), tokens(0, "ok")).message(f.channel(), end(1, "ok"));
    assertEquals(1, f.all(Action.RecordCompletion.class).size());
    assertTrue(f.all(Action.Finish.class).isEmpty());
    f.take(f.run.onRecorded());
    assertEquals(1, f.all(Action.Finish.class).size());
  }

  @Test
  void answerIsNotHeldBackForeverByTheTable() {
    RunFixture f = started();
    f.message(f.channel(), tokens(0, "ok")).message(f.channel(), end(1, "ok"));
    f.tick(RequestStateMachine.RECORD_WAIT_MS);
    assertEquals(1, f.all(Action.Finish.class).size());
  }

  @Test
  void lostServerGivesUnknownOutcomeAndOneStart() {
    RunFixture f = started();
    f.closed(broken());
    f.message(
        f.channel(), new Message.Failed(RunFixture.ID, ErrorKind.NOT_FOUND, Outcome.UNKNOWN, ""));
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, f.refusal().kind());
    assertEquals(1, f.all(Action.Start.class).size());
    assertTrue(f.all(Action.RecordNotRun.class).isEmpty());
  }

  @Test
  void unreachableServerIsResumedSeveralTimesThenUnknown() {
    RunFixture f = started();
    f.closed(broken());
    for (int i = 0; i < 40 && !f.run.isDone(); i++) {
      f.take(f.run.onClosed(f.channel(), unsent())).tick(2_000);
    }
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, f.refusal().kind());
    assertEquals(RequestStateMachine.MAX_RESUMES_NON_IDEMPOTENT, f.all(Action.Resume.class).size());
    assertEquals(1, f.all(Action.Start.class).size());
  }

  @Test
  void refusedStartIsNotRunAndFreesTheKey() {
    RunFixture f = started();
    f.message(f.channel(), new Message.Refused(ErrorKind.RESERVATION_EXPIRED, "", 0));
    assertEquals(Outcome.NOT_RUN, f.refusal().outcome());
    assertEquals(1, f.all(Action.RecordNotRun.class).size());
    assertEquals(1, f.all(Action.Start.class).size());
  }

  @Test
  void refusalOnResumedStreamIsNotRunUnlessTheRunHasBegun() {
    Message.Refused cold = new Message.Refused(ErrorKind.SERVER_COLD, "", 0);
    RunFixture f = started();
    f.closed(broken()).message(f.channel(), cold);
    assertEquals(Outcome.NOT_RUN, f.refusal().outcome());
    RunFixture g = started();
    g.message(g.channel(), new Message.Started("v1", 0, 4)).closed(broken());
    g.message(g.channel(), cold);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, g.refusal().kind());
  }

  @Test
  void crashIsNotRunAgain() {
    RunFixture f = started();
    f.message(
        f.channel(),
        new Message.Failed(RunFixture.ID, ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN, ""));
    assertEquals(ErrorKind.CRASHED_SERVERS, f.refusal().kind());
    assertEquals(1, f.all(Action.ReportCrash.class).size());
  }

  @Test
  void recordedAnswerIsReplayedAndRejectionPassedOn() {
    RunFixture f = RunFixture.keyed();
    f.take(f.run.start());
    f.take(f.run.onClaim(new ClaimDecision.Recorded("old".getBytes(UTF_8))));
    assertEquals("old", new String(f.last(Action.SendRecorded.class).recorded(), UTF_8));
    RunFixture g = RunFixture.keyed();
    g.take(g.run.start());
    Failure busy = Failure.of(ErrorKind.IN_PROGRESS, "");
    g.take(g.run.onClaim(new ClaimDecision.Rejected(busy)));
    assertEquals(busy, g.refusal());
    assertTrue(g.all(Action.ToServer.class).isEmpty());
  }

  @Test
  void claimGrantedAfterDeadlineIsFreed() {
    RunFixture f = RunFixture.keyed();
    f.take(f.run.start()).tick(60_000);
    assertEquals(Outcome.NOT_RUN, f.refusal().outcome());
    f.take(f.run.onClaim(GRANTED));
    assertEquals(1, f.all(Action.RecordNotRun.class).size());
    assertTrue(f.all(Action.ToServer.class).isEmpty());
  }

  @Test
  void callerGoneAfterStartStillRecords() {
    RunFixture f = started();
    f.take(f.run.onCallerGone());
    f.message(f.channel(), tokens(0, "ok")).message(f.channel(), end(1, "ok"));
    assertEquals("", f.relayed());
    assertEquals(1, f.all(Action.RecordCompletion.class).size());
  }

  @Test
  void deadlineWhileRunningIsUnknown() {
    RunFixture f = started();
    f.tick(60_000);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, f.refusal().kind());
  }
}

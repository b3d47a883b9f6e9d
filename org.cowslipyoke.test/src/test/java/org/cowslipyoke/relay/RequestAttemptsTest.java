package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.relay.RequestAttempts.NextStep;
import org.junit.jupiter.api.Test;

class RequestAttemptsTest {

  private static RequestAttempts attempts(RequestKind kind, boolean resumable, int attempts) {
    RequestAttempts r =
        new RequestAttempts(RelayFixture.route(kind, resumable, attempts), null, () -> true);
    r.recordAttempt(RelayFixture.server("s1", 1));
    return r;
  }

  /** Guards against running a request that is not idempotent twice, such as a booking. */
  @Test
  void nonIdempotentRequestIsNotRetriedAfterUnknownOutcome() {
    for (AttemptEnd end : new AttemptEnd[] {AttemptEnd.BROKEN, AttemptEnd.FAILED}) {
      RequestAttempts r = attempts(RequestKind.NON_IDEMPOTENT, false, 3);
      assertFalse(r.onAttemptEnd(end, true, true) == NextStep.AGAIN);
    }
    RequestAttempts stream = attempts(RequestKind.STREAM, false, 3);
    assertEquals(NextStep.FAIL, stream.onAttemptEnd(AttemptEnd.BROKEN, true, true));
  }

  /** Guards against reporting a request as "not run" although an earlier attempt may have run. */
  @Test
  void failureAfterBrokenAttemptDoesNotStateNotRun() {
    RequestAttempts r = attempts(RequestKind.IDEMPOTENT, false, 2);
    assertEquals(NextStep.AGAIN, r.onAttemptEnd(AttemptEnd.BROKEN, true, true));
    r.recordAttempt(RelayFixture.server("s2", 1));
    assertEquals(NextStep.FAIL, r.onAttemptEnd(AttemptEnd.REFUSED, true, true));
    assertEquals(Outcome.UNKNOWN, r.finalFailure().outcome());
    assertEquals(Outcome.UNKNOWN, r.timeoutFailure(false).outcome());
  }

  /** Guards against giving up at the only server after one connection that was not opened. */
  @Test
  void forgottenServerMayBeTriedAgainWithinTheLimit() {
    RequestAttempts r = attempts(RequestKind.NON_IDEMPOTENT, false, 1);
    BackendServer only = RelayFixture.server("s1", 1);
    for (int i = 1; i < RequestAttempts.MAX_ATTEMPTS; i++) {
      assertTrue(r.hasTried(only));
      r.forget(only);
      assertFalse(r.hasTried(only));
      assertEquals(NextStep.AGAIN, r.onAttemptEnd(AttemptEnd.NOT_SENT, true, true));
      r.recordAttempt(only);
    }
    assertEquals(NextStep.FAIL, r.onAttemptEnd(AttemptEnd.NOT_SENT, true, true));
    assertEquals(Outcome.NOT_RUN, r.finalFailure().outcome());
  }

  @Test
  void refusedRequestIsReportedAsNotRun() {
    RequestAttempts r = attempts(RequestKind.NON_IDEMPOTENT, false, 1);
    assertEquals(NextStep.FAIL, r.onAttemptEnd(AttemptEnd.REFUSED, true, true));
    assertEquals(ErrorKind.OVERLOADED, r.finalFailure().kind());
    assertTrue(r.finalFailure().retryAfterMs() > 0);
    assertEquals(Outcome.NOT_RUN, r.timeoutFailure(false).outcome());
    assertEquals(Outcome.UNKNOWN, r.timeoutFailure(true).outcome());
  }

  /**
   * Guards against using up the attempt limit of the route with attempts that no server processed.
   */
  @Test
  void attemptsThatNoServerProcessedDoNotCountTowardsTheLimit() {
    RequestAttempts r = attempts(RequestKind.NON_IDEMPOTENT, false, 1);
    assertEquals(NextStep.AGAIN, r.onAttemptEnd(AttemptEnd.NOT_SENT, true, true));
    r.recordAttempt(RelayFixture.server("s2", 1));
    assertEquals(NextStep.AGAIN, r.onAttemptEnd(AttemptEnd.MISDIRECTED, true, true));
    r.recordAttempt(RelayFixture.server("s3", 1));
    assertEquals(NextStep.AGAIN, r.onAttemptEnd(AttemptEnd.NOT_SENT, true, true));
    r.recordAttempt(RelayFixture.server("s4", 1));
    assertEquals(NextStep.FAIL, r.onAttemptEnd(AttemptEnd.NOT_SENT, true, true));
    assertTrue(r.hasTried(RelayFixture.server("s2", 1)));
  }

  @Test
  void retriesNeedBudgetAnotherServerAndTime() {
    RequestAttempts withoutBudget =
        new RequestAttempts(
            RelayFixture.route(RequestKind.IDEMPOTENT, false, 2), null, () -> false);
    withoutBudget.recordAttempt(RelayFixture.server("s1", 1));
    assertEquals(NextStep.FAIL, withoutBudget.onAttemptEnd(AttemptEnd.BROKEN, true, true));
    assertEquals(
        NextStep.FAIL,
        attempts(RequestKind.IDEMPOTENT, false, 2).onAttemptEnd(AttemptEnd.BROKEN, false, true));
    assertEquals(
        NextStep.FAIL,
        attempts(RequestKind.IDEMPOTENT, false, 2).onAttemptEnd(AttemptEnd.BROKEN, true, false));
  }

  /** Guards against an incomplete response that looks complete to the caller. */
  @Test
  void startedAnswerThatCannotBeResumedIsCut() {
    RequestAttempts r = attempts(RequestKind.STREAM, true, 1);
    r.recordResponseStarted();
    r.recordEventSent("7");
    assertEquals(NextStep.CUT, r.onAttemptEnd(AttemptEnd.BROKEN, true, true));
    RequestAttempts more = attempts(RequestKind.STREAM, true, 2);
    more.recordResponseStarted();
    more.recordEventSent("7");
    assertEquals(NextStep.AGAIN, more.onAttemptEnd(AttemptEnd.BROKEN, true, true));
    assertEquals("7", more.lastEventId());
  }

  @Test
  void serverErrorIsPassedOnWhenNoRetryIsAllowed() {
    assertEquals(
        NextStep.PASS_ON,
        attempts(RequestKind.IDEMPOTENT, false, 1).onAttemptEnd(AttemptEnd.FAILED, true, true));
    assertEquals(
        NextStep.AGAIN,
        attempts(RequestKind.IDEMPOTENT, false, 2).onAttemptEnd(AttemptEnd.FAILED, true, true));
  }

  /** Guards against a stream that is lost although its run could go on from a copy. */
  @Test
  void brokenRunGoesOnFromItsCopyOnce() {
    RequestAttempts r = attempts(RequestKind.STREAM, false, 3);
    assertTrue(r.mayContinueCurrentAttempt());
    assertEquals(NextStep.CONTINUE, r.onAttemptEnd(AttemptEnd.BROKEN, true, true, true));
    r.recordAttempt(RelayFixture.server("s2", 1));
    assertFalse(r.mayContinueCurrentAttempt());
    assertEquals(NextStep.FAIL, r.onAttemptEnd(AttemptEnd.BROKEN, true, true, true));
  }

  /** Guards against a plain second run after the server with the copy refused the request. */
  @Test
  void refusedContinuationIsNotRunAgain() {
    for (AttemptEnd end :
        new AttemptEnd[] {AttemptEnd.REFUSED, AttemptEnd.MISDIRECTED, AttemptEnd.NOT_SENT}) {
      RequestAttempts r = attempts(RequestKind.STREAM, false, 3);
      assertEquals(NextStep.CONTINUE, r.onAttemptEnd(AttemptEnd.BROKEN, true, true, true));
      r.recordAttempt(RelayFixture.server("s2", 1));
      assertEquals(NextStep.FAIL, r.onAttemptEnd(end, true, true, true));
      assertEquals(Outcome.UNKNOWN, r.finalFailure().outcome());
    }
  }

  /** Guards against continuations beyond the retry budget or the deadline. */
  @Test
  void continuationNeedsBudgetAndTime() {
    RequestAttempts r =
        new RequestAttempts(RelayFixture.route(RequestKind.STREAM, false, 1), null, () -> false);
    r.recordAttempt(RelayFixture.server("s1", 1));
    assertEquals(NextStep.FAIL, r.onAttemptEnd(AttemptEnd.BROKEN, true, true, true));
    assertEquals(
        NextStep.FAIL,
        attempts(RequestKind.STREAM, false, 1).onAttemptEnd(AttemptEnd.BROKEN, true, true, false));
  }
}

package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.relay.RelayRun.Next;
import org.junit.jupiter.api.Test;

class RelayRunTest {

  private static RelayRun run(RequestKind kind, boolean resumable, int attempts) {
    RelayRun r = new RelayRun(RelayFixture.route(kind, resumable, attempts), null, () -> true);
    r.sending(RelayFixture.server("s1", 1));
    return r;
  }

  /** Guards against a booking that runs twice. */
  @Test
  void unknownEndOfNonIdempotentRequestIsNeverSentAgain() {
    for (AttemptEnd end : new AttemptEnd[] {AttemptEnd.BROKEN, AttemptEnd.FAILED}) {
      RelayRun r = run(RequestKind.NON_IDEMPOTENT, false, 3);
      assertFalse(r.after(end, true, true) == Next.AGAIN);
    }
    RelayRun stream = run(RequestKind.STREAM, false, 3);
    assertEquals(Next.FAIL, stream.after(AttemptEnd.BROKEN, true, true));
  }

  /** Guards against a refusal that says "not run" though an earlier attempt may have run. */
  @Test
  void failureAfterBrokenAttemptDoesNotSayNotRun() {
    RelayRun r = run(RequestKind.IDEMPOTENT, false, 2);
    assertEquals(Next.AGAIN, r.after(AttemptEnd.BROKEN, true, true));
    r.sending(RelayFixture.server("s2", 1));
    assertEquals(Next.FAIL, r.after(AttemptEnd.REFUSED, true, true));
    assertEquals(Outcome.UNKNOWN, r.failure().outcome());
    assertEquals(Outcome.UNKNOWN, r.timeout(false).outcome());
  }

  @Test
  void refusedRequestIsAnsweredAsNotRun() {
    RelayRun r = run(RequestKind.NON_IDEMPOTENT, false, 1);
    assertEquals(Next.FAIL, r.after(AttemptEnd.REFUSED, true, true));
    assertEquals(ErrorKind.OVERLOADED, r.failure().kind());
    assertTrue(r.failure().retryAfterMs() > 0);
    assertEquals(Outcome.NOT_RUN, r.timeout(false).outcome());
    assertEquals(Outcome.UNKNOWN, r.timeout(true).outcome());
  }

  /** Guards against the limit of servers being used up by attempts that reached none. */
  @Test
  void attemptsThatReachedNoServerDoNotCountForTheLimit() {
    RelayRun r = run(RequestKind.NON_IDEMPOTENT, false, 1);
    assertEquals(Next.AGAIN, r.after(AttemptEnd.NOT_SENT, true, true));
    r.sending(RelayFixture.server("s2", 1));
    assertEquals(Next.AGAIN, r.after(AttemptEnd.MISDIRECTED, true, true));
    r.sending(RelayFixture.server("s3", 1));
    assertEquals(Next.AGAIN, r.after(AttemptEnd.NOT_SENT, true, true));
    r.sending(RelayFixture.server("s4", 1));
    assertEquals(Next.FAIL, r.after(AttemptEnd.NOT_SENT, true, true));
    assertTrue(r.wasAt(RelayFixture.server("s2", 1)));
  }

  @Test
  void repeatsNeedBudgetOthersAndTime() {
    RelayRun poor =
        new RelayRun(RelayFixture.route(RequestKind.IDEMPOTENT, false, 2), null, () -> false);
    poor.sending(RelayFixture.server("s1", 1));
    assertEquals(Next.FAIL, poor.after(AttemptEnd.BROKEN, true, true));
    assertEquals(
        Next.FAIL, run(RequestKind.IDEMPOTENT, false, 2).after(AttemptEnd.BROKEN, false, true));
    assertEquals(
        Next.FAIL, run(RequestKind.IDEMPOTENT, false, 2).after(AttemptEnd.BROKEN, true, false));
  }

  /** Guards against an answer that broke off and looks whole. */
  @Test
  void begunAnswerThatCannotGoOnIsCut() {
    RelayRun r = run(RequestKind.STREAM, true, 1);
    r.answerBegun();
    r.eventSent("7");
    assertEquals(Next.CUT, r.after(AttemptEnd.BROKEN, true, true));
    RelayRun more = run(RequestKind.STREAM, true, 2);
    more.answerBegun();
    more.eventSent("7");
    assertEquals(Next.AGAIN, more.after(AttemptEnd.BROKEN, true, true));
    assertEquals("7", more.lastEventId());
  }

  @Test
  void failureOfTheServerIsPassedOnWhenNoOtherServerIsAllowed() {
    assertEquals(
        Next.PASS_ON, run(RequestKind.IDEMPOTENT, false, 1).after(AttemptEnd.FAILED, true, true));
    assertEquals(
        Next.AGAIN, run(RequestKind.IDEMPOTENT, false, 2).after(AttemptEnd.FAILED, true, true));
  }
}

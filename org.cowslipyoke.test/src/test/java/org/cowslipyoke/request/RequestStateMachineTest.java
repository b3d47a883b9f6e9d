package org.cowslipyoke.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cowslipyoke.request.RequestFixture.connectionReset;
import static org.cowslipyoke.request.RequestFixture.end;
import static org.cowslipyoke.request.RequestFixture.notSent;
import static org.cowslipyoke.request.RequestFixture.offer;
import static org.cowslipyoke.request.RequestFixture.tokens;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.suspect.SuspectList;
import org.junit.jupiter.api.Test;

/**
 * Checks the handling of one idempotent request: choice of a server, check of the answer, resume
 * after a lost stream, and continuation on another server.
 */
class RequestStateMachineTest {

  private static RequestFixture started() {
    RequestFixture f = RequestFixture.idempotent();
    return f.addActions(f.run.start()).answerProbe();
  }

  private static Message.Failed failed(ErrorKind kind, Outcome outcome) {
    return new Message.Failed(RequestFixture.ID, kind, outcome, "");
  }

  @Test
  void relaysCompleteAnswerOnce() {
    RequestFixture f = started();
    f.message(f.channel(), new Message.Started("v1", 3, 1)).message(f.channel(), tokens(0, "a"));
    f.message(f.channel(), tokens(0, "a", "b")).message(f.channel(), end(2, "ab"));
    assertEquals("ab", f.relayed());
    assertEquals(3, f.last(Action.Finish.class).completion().reusedTokens());
    assertTrue(f.run.isDone());
  }

  @Test
  void collectsOffersForFortyMillisecondsAndReleasesTheRest() {
    RequestFixture f = RequestFixture.probingSeveralServers();
    f.addActions(f.run.start());
    List<Action.Probe> probes = f.all(Action.Probe.class);
    f.message(probes.get(0).channel(), offer(1, 5, -1));
    f.tick(39).message(probes.get(1).channel(), offer(2, 0, -1));
    assertTrue(f.all(Action.Start.class).isEmpty());
    f.tick(1);
    assertEquals(2, f.last(Action.Start.class).message().reservationId());
    assertEquals(1, f.last(Action.Release.class).message().reservationId());
    f.message(probes.get(2).channel(), offer(3, 0, -1));
    assertEquals(3, f.last(Action.Release.class).message().reservationId());
  }

  @Test
  void unansweredProbesEndAfterHalfSecondAndAnotherServerIsProbed() {
    RequestFixture f = RequestFixture.idempotent();
    f.addActions(f.run.start()).tick(499);
    assertEquals(1, f.all(Action.Probe.class).size());
    f.tick(1);
    assertEquals(2, f.all(Action.Probe.class).size());
    String first = f.all(Action.Probe.class).get(0).server().vm();
    assertFalse(first.equals(f.last(Action.Probe.class).server().vm()));
  }

  @Test
  void resumesByOffsetAfterResetAndDropsLateMessages() {
    RequestFixture f = started();
    long old = f.channel();
    f.message(old, tokens(0, "a", "b")).closed(connectionReset());
    assertEquals(2, f.last(Action.Resume.class).message().offset());
    f.message(old, tokens(2, "X")).message(f.channel(), tokens(1, "b", "c"));
    f.message(f.channel(), end(3, "abc"));
    assertEquals("abc", f.relayed());
    assertEquals(1, f.all(Action.Start.class).size());
  }

  @Test
  void resumesOnGapIdleTimeoutAndEarlyEnd() {
    RequestFixture f = started();
    f.message(f.channel(), tokens(0, "a")).message(f.channel(), tokens(2, "c"));
    assertEquals(1, f.all(Action.Resume.class).size());
    f.message(f.channel(), tokens(1, "b")).tick(RequestStateMachine.IDLE_TIMEOUT_MS);
    assertEquals(2, f.all(Action.Resume.class).size());
    f.message(f.channel(), tokens(2, "c")).message(f.channel(), end(4, "abcd"));
    assertEquals(3, f.last(Action.Resume.class).message().offset());
  }

  @Test
  void continuesOnAnotherServerAfterTextAlreadyRelayed() {
    RequestFixture f = started();
    String first = f.last(Action.Start.class).server().vm();
    f.message(f.channel(), tokens(0, "a", "b")).closed(connectionReset());
    f.message(f.channel(), failed(ErrorKind.NOT_FOUND, Outcome.UNKNOWN)).answerProbe();
    Action.Start second = f.last(Action.Start.class);
    assertFalse(first.equals(second.server().vm()));
    assertEquals("ab", new String(second.message().generatedPrefix(), UTF_8));
    assertEquals(2, second.message().offset());
    assertEquals(1, second.message().attempt());
    f.message(f.channel(), tokens(2, "c")).message(f.channel(), end(3, "abc"));
    assertEquals("abc", f.relayed());
  }

  @Test
  void dropsMessagesOfAnotherRequestAndRefusesCorruptAnswer() {
    RequestFixture f = started();
    f.message(f.channel(), new Message.Tokens("r-2", 0, List.of("secret")));
    f.message(f.channel(), tokens(0, "a")).message(f.channel(), end(1, "b"));
    assertEquals("a", f.relayed());
    assertEquals(ErrorKind.INCOMPLETE, f.refusal().kind());
  }

  @Test
  void refusalAfterUncertainAttemptIsNotReportedAsNotRun() {
    RequestFixture f = started();
    f.closed(connectionReset());
    while (!f.run.isDone()) {
      f.tick(1_000);
    }
    assertEquals(Outcome.UNKNOWN, f.refusal().outcome());
    RequestFixture g = RequestFixture.idempotent();
    g.addActions(g.run.start());
    while (!g.run.isDone()) {
      g.tick(1_000);
    }
    assertEquals(Outcome.NOT_RUN, g.refusal().outcome());
    assertEquals(RequestStateMachine.MAX_ROUNDS, g.all(Action.Probe.class).size());
  }

  @Test
  void exhaustedRetryBudgetEndsTheRequest() {
    RequestFixture f = RequestFixture.idempotent();
    while (f.retries.tryRetry()) {
      assertFalse(f.run.isDone());
    }
    f.addActions(f.run.start()).tick(ProbeRound.MAX_ROUND_MS);
    assertEquals(ErrorKind.NO_SERVER, f.refusal().kind());
    assertEquals(1, f.all(Action.Probe.class).size());
  }

  @Test
  void secondCrashOfSuspectIsRefusedAndReported() {
    RequestFixture f = started();
    f.message(f.channel(), failed(ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN));
    assertTrue(f.last(Action.Probe.class).message().suspect());
    f.answerProbe();
    assertTrue(f.last(Action.Start.class).message().suspect());
    f.message(f.channel(), failed(ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN));
    assertEquals(2, f.all(Action.ReportCrash.class).size());
    assertEquals(ErrorKind.CRASHED_SERVERS, f.refusal().kind());
  }

  @Test
  void suspectThatFinishesIsCleared() {
    RequestFixture f = RequestFixture.idempotent();
    f.suspects.offer(new SuspectList().current().withCrash("d1", f.clock.wallMs()));
    f.addActions(f.run.start()).answerProbe();
    f.message(f.channel(), tokens(0, "a")).message(f.channel(), end(1, "a"));
    assertEquals("d1", f.last(Action.ClearSuspect.class).digest());
  }

  @Test
  void quarantinedDigestIsNotSent() {
    RequestFixture f = RequestFixture.idempotent();
    SuspectList.Snapshot s = f.suspects.current().withCrash("d1", f.clock.wallMs());
    f.suspects.offer(s.withCrash("d1", f.clock.wallMs()));
    f.addActions(f.run.start());
    assertEquals(ErrorKind.QUARANTINED, f.refusal().kind());
    assertTrue(f.all(Action.ToServer.class).isEmpty());
  }

  @Test
  void reconnectingCallerGetsOnlyTheRestOfTheSameRun() {
    RequestFixture f = RequestFixture.reconnecting(2);
    f.addActions(f.run.start());
    for (Action.Probe p : f.all(Action.Probe.class)) {
      f.message(p.channel(), offer(p.channel(), 0, p.channel() == 3 ? 2 : -1));
    }
    assertTrue(f.all(Action.Start.class).isEmpty());
    assertEquals(0, f.last(Action.Resume.class).message().offset());
    f.message(f.channel(), tokens(0, "a", "b", "c")).message(f.channel(), end(3, "abc"));
    assertEquals("c", f.relayed());
    assertEquals(2, f.last(Action.Relay.class).offset());
  }

  @Test
  void reconnectingCallerIsNotGivenSecondRun() {
    RequestFixture f = RequestFixture.reconnecting(2);
    f.addActions(f.run.start());
    for (Action.Probe p : f.all(Action.Probe.class)) {
      f.message(p.channel(), offer(p.channel(), 0, -1));
    }
    assertEquals(ErrorKind.INCOMPLETE, f.refusal().kind());
    assertTrue(f.all(Action.Start.class).isEmpty());
  }

  @Test
  void startThatWasNotSentGoesToAnotherServer() {
    RequestFixture f = started();
    f.closed(notSent()).answerProbe();
    assertEquals(2, f.all(Action.Start.class).size());
  }

  @Test
  void callerGoneCancelsTheRun() {
    RequestFixture f = started();
    f.addActions(f.run.onCallerGone());
    assertEquals(1, f.all(Action.Cancel.class).size());
    assertTrue(f.run.isDone());
  }
}

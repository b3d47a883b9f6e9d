package org.cowslipyoke.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cowslipyoke.request.RunFixture.broken;
import static org.cowslipyoke.request.RunFixture.end;
import static org.cowslipyoke.request.RunFixture.offer;
import static org.cowslipyoke.request.RunFixture.tokens;
import static org.cowslipyoke.request.RunFixture.unsent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.suspect.SuspectList;
import org.junit.jupiter.api.Test;

/** Guards the rules of one idempotent request: placement, checks, resume and continuation. */
class RequestRunTest {

  private static RunFixture started() {
    RunFixture f = RunFixture.idempotent();
    return f.take(f.run.start()).offered();
  }

  private static Message.Failed failed(ErrorKind kind, Outcome outcome) {
    return new Message.Failed(RunFixture.ID, kind, outcome, "");
  }

  @Test
  void relaysWholeAnswerOnce() {
    RunFixture f = started();
    f.message(f.channel(), new Message.Started("v1", 3, 1)).message(f.channel(), tokens(0, "a"));
    f.message(f.channel(), tokens(0, "a", "b")).message(f.channel(), end(2, "ab"));
    assertEquals("ab", f.relayed());
    assertEquals(3, f.last(Action.Finish.class).completion().reusedTokens());
    assertTrue(f.run.isDone());
  }

  @Test
  void collectsOffersForFortyMillisecondsAndReleasesTheRest() {
    RunFixture f = RunFixture.broad();
    f.take(f.run.start());
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
  void silentProbesEndAfterHalfSecondAndAnotherServerIsAsked() {
    RunFixture f = RunFixture.idempotent();
    f.take(f.run.start()).tick(499);
    assertEquals(1, f.all(Action.Probe.class).size());
    f.tick(1);
    assertEquals(2, f.all(Action.Probe.class).size());
    String first = f.all(Action.Probe.class).get(0).server().vm();
    assertFalse(first.equals(f.last(Action.Probe.class).server().vm()));
  }

  @Test
  void resumesByOffsetAfterResetAndDropsLateMessages() {
    RunFixture f = started();
    long old = f.channel();
    f.message(old, tokens(0, "a", "b")).closed(broken());
    assertEquals(2, f.last(Action.Resume.class).message().offset());
    f.message(old, tokens(2, "X")).message(f.channel(), tokens(1, "b", "c"));
    f.message(f.channel(), end(3, "abc"));
    assertEquals("abc", f.relayed());
    assertEquals(1, f.all(Action.Start.class).size());
  }

  @Test
  void resumesOnGapSilenceAndShortEnd() {
    RunFixture f = started();
    f.message(f.channel(), tokens(0, "a")).message(f.channel(), tokens(2, "c"));
    assertEquals(1, f.all(Action.Resume.class).size());
    f.message(f.channel(), tokens(1, "b")).tick(RequestStateMachine.SILENCE_MS);
    assertEquals(2, f.all(Action.Resume.class).size());
    f.message(f.channel(), tokens(2, "c")).message(f.channel(), end(4, "abcd"));
    assertEquals(3, f.last(Action.Resume.class).message().offset());
  }

  @Test
  void continuesOnAnotherServerWithTextAlreadyRelayed() {
    RunFixture f = started();
    String first = f.last(Action.Start.class).server().vm();
    f.message(f.channel(), tokens(0, "a", "b")).closed(broken());
    f.message(f.channel(), failed(ErrorKind.NOT_FOUND, Outcome.UNKNOWN)).offered();
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
    RunFixture f = started();
    f.message(f.channel(), new Message.Tokens("r-2", 0, List.of("secret")));
    f.message(f.channel(), tokens(0, "a")).message(f.channel(), end(1, "b"));
    assertEquals("a", f.relayed());
    assertEquals(ErrorKind.INCOMPLETE, f.refusal().kind());
  }

  @Test
  void refusalAfterUncertainAttemptIsNotReportedAsNotRun() {
    RunFixture f = started();
    f.closed(broken());
    while (!f.run.isDone()) {
      f.tick(1_000);
    }
    assertEquals(Outcome.UNKNOWN, f.refusal().outcome());
    RunFixture g = RunFixture.idempotent();
    g.take(g.run.start());
    while (!g.run.isDone()) {
      g.tick(1_000);
    }
    assertEquals(Outcome.NOT_RUN, g.refusal().outcome());
    assertEquals(RequestStateMachine.MAX_ROUNDS, g.all(Action.Probe.class).size());
  }

  @Test
  void usedUpRetryBudgetEndsTheRequest() {
    RunFixture f = RunFixture.idempotent();
    while (f.retries.tryRetry()) {
      assertFalse(f.run.isDone());
    }
    f.take(f.run.start()).tick(ProbeRound.MAX_MS);
    assertEquals(ErrorKind.NO_SERVER, f.refusal().kind());
    assertEquals(1, f.all(Action.Probe.class).size());
  }

  @Test
  void secondCrashOfSuspectIsRefusedAndReported() {
    RunFixture f = started();
    f.message(f.channel(), failed(ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN));
    assertTrue(f.last(Action.Probe.class).message().suspect());
    f.offered();
    assertTrue(f.last(Action.Start.class).message().suspect());
    f.message(f.channel(), failed(ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN));
    assertEquals(2, f.all(Action.ReportCrash.class).size());
    assertEquals(ErrorKind.CRASHED_SERVERS, f.refusal().kind());
  }

  @Test
  void suspectThatFinishesIsCleared() {
    RunFixture f = RunFixture.idempotent();
    f.suspects.offer(new SuspectList().current().withCrash("d1", f.clock.wallMs()));
    f.take(f.run.start()).offered();
    f.message(f.channel(), tokens(0, "a")).message(f.channel(), end(1, "a"));
    assertEquals("d1", f.last(Action.ClearSuspect.class).digest());
  }

  @Test
  void quarantinedDigestIsNotSent() {
    RunFixture f = RunFixture.idempotent();
    SuspectList.Snapshot s = f.suspects.current().withCrash("d1", f.clock.wallMs());
    f.suspects.offer(s.withCrash("d1", f.clock.wallMs()));
    f.take(f.run.start());
    assertEquals(ErrorKind.QUARANTINED, f.refusal().kind());
    assertTrue(f.all(Action.ToServer.class).isEmpty());
  }

  @Test
  void reconnectingCallerGetsOnlyTheRestOfTheSameRun() {
    RunFixture f = RunFixture.reconnecting(2);
    f.take(f.run.start());
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
    RunFixture f = RunFixture.reconnecting(2);
    f.take(f.run.start());
    for (Action.Probe p : f.all(Action.Probe.class)) {
      f.message(p.channel(), offer(p.channel(), 0, -1));
    }
    assertEquals(ErrorKind.INCOMPLETE, f.refusal().kind());
    assertTrue(f.all(Action.Start.class).isEmpty());
  }

  @Test
  void startThatWasNotSentGoesElsewhere() {
    RunFixture f = started();
    f.closed(unsent()).offered();
    assertEquals(2, f.all(Action.Start.class).size());
  }

  @Test
  void callerGoneCancelsTheRun() {
    RunFixture f = started();
    f.take(f.run.onCallerGone());
    assertEquals(1, f.all(Action.Cancel.class).size());
    assertTrue(f.run.isDone());
  }
}

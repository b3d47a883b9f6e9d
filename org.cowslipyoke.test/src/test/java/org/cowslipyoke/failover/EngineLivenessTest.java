package org.cowslipyoke.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.BackendServer;
import org.junit.jupiter.api.Test;

class EngineLivenessTest {

  private static final BackendServer A = FailoverFixture.server("a", "d1");
  private static final BackendServer B = FailoverFixture.server("b", "d2");
  private static final BackendServer C = FailoverFixture.server("c", "d2");

  /** Usual time between the events of a stream, in milliseconds. */
  private static final long PACE_MS = 60;

  private final FailoverFixture entry = new FailoverFixture(A, B, C);
  private final EngineLiveness liveness = entry.liveness;
  private final List<BackendServer> probed = new ArrayList<>();
  private final List<BackendServer> lost = new ArrayList<>();

  private Attempt stream(BackendServer server) {
    Attempt a = entry.attempt("r-" + server.id(), server);
    liveness.started(a);
    liveness.contentReceived(a, entry.clock.nowMs(), true);
    return a;
  }

  /** Runs for a time in which only the given engines send events and answer probes. */
  private void run(long ms, Set<BackendServer> alive, Attempt... streams) {
    for (long t = 1; t <= ms; t++) {
      entry.clock.advance(1);
      for (Attempt a : streams) {
        if (t % PACE_MS == 0 && alive.contains(a.server())) {
          liveness.contentReceived(a, entry.clock.nowMs(), false);
        }
      }
      if (t % EngineLiveness.TICK_MS == 0) {
        EngineLiveness.Actions actions = liveness.tick();
        probed.addAll(actions.probes());
        lost.addAll(actions.lost());
        actions.probes().stream().filter(alive::contains).forEach(liveness::probeAnswered);
      }
    }
  }

  /** Guards against a stream that waits for a dead engine until its answer is late. */
  @Test
  void silentEngineIsLostBeforeItsStreamsAreLate() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(600, Set.of(A, B, C), a, b);
    assertEquals(List.of(), lost);
    run(200, Set.of(B, C), a, b);
    assertEquals(List.of(A), lost);
    assertTrue(liveness.isLost(A));
    assertTrue(liveness.isAvoided(A));
    assertFalse(liveness.isAvoided(B));
  }

  /** Guards against leaving an engine that is only slow, whose run would go on there. */
  @Test
  void engineThatAnswersProbesIsNotLost() {
    stream(A);
    Attempt b = stream(B);
    for (int i = 0; i < 20; i++) {
      run(PACE_MS - 1, Set.of(A, B, C), b);
    }
    assertTrue(probed.contains(A));
    assertEquals(List.of(), lost);
    assertFalse(liveness.isAvoided(A));
  }

  /** Guards against leaving sound engines because this entry lost its own connection. */
  @Test
  void noEngineIsLostWhileNoneIsHeard() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(300, Set.of(A, B, C), a, b);
    run(2_000, Set.of(), a, b);
    assertEquals(List.of(), lost);
  }

  /** Guards against leaving engines whose answers wait in a process that was stopped. */
  @Test
  void pauseOfThisProcessIsNotSilence() {
    Attempt a = stream(A);
    stream(B);
    run(300, Set.of(A, B, C), a);
    run(100, Set.of(B, C), a);
    entry.clock.advance(400);
    liveness.probeAnswered(B);
    assertEquals(List.of(), liveness.tick().lost());
    liveness.probeAnswered(A);
    assertFalse(liveness.isAvoided(A));
  }

  /** Guards against a lost engine that gets no work although it is back. */
  @Test
  void engineIsUsedAgainOnceItIsHeard() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(300, Set.of(A, B, C), a, b);
    run(300, Set.of(B, C), a, b);
    assertTrue(liveness.isLost(A));
    run(EngineLiveness.AGAIN_MS + 100, Set.of(A, B, C), b);
    assertFalse(liveness.isLost(A));
  }

  /** Guards against leaving a live engine that takes no new connections behind a long queue. */
  @Test
  void engineThatAnswersEventReadersIsNotLost() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(300, Set.of(A, B, C), a, b);
    for (int i = 0; i < 15; i++) {
      run(100, Set.of(B, C), a, b);
      entry.directory.contents(A.address()).recordResponse(entry.clock.nowMs() - 80);
    }
    assertEquals(List.of(), lost);
    run(300, Set.of(B, C), a, b);
    assertEquals(List.of(A), lost);
  }

  /** Guards against a lost engine that is never polled to be used again. */
  @Test
  void engineThatAnswersItsEventReaderIsBack() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(300, Set.of(A, B, C), a, b);
    run(300, Set.of(B, C), a, b);
    entry.directory.contents(A.address()).recordResponse(entry.clock.nowMs());
    run(EngineLiveness.TICK_MS, Set.of(B, C), b);
    assertFalse(liveness.isLost(A));
  }

  /** Guards against new requests at an engine that another entry knows to be lost. */
  @Test
  void reportOfAnotherEntryIsCheckedAtOnce() {
    Attempt a = stream(A);
    run(300, Set.of(A, B, C), a);
    entry.clock.advance(40);
    liveness.peerFoundLost(A.incarnation());
    assertTrue(liveness.isAvoided(A));
    assertFalse(liveness.isLost(A), "this entry reaches the engine as far as it knows");
    run(EngineLiveness.TICK_MS, Set.of(A, B, C));
    assertTrue(probed.contains(A));
    assertFalse(liveness.isAvoided(A), "the engine has answered this entry");
    liveness.peerFoundLost("unknown");
  }

  /** Guards against a second full wait at each entry, after which most continuations are late. */
  @Test
  void reportOfAnotherEntryShortensTheVerdict() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(300, Set.of(A, B, C), a, b);
    run(70, Set.of(B, C), a, b);
    liveness.peerFoundLost(A.incarnation());
    run(EngineLiveness.LAST_UNANSWERED_MS + 2 * EngineLiveness.TICK_MS, Set.of(B, C), a, b);
    assertEquals(List.of(A), lost);
  }

  /** Guards against verdicts of a process that has just started and reads answers late. */
  @Test
  void engineIsNotLostWhileAnswersOfAllAreLate() {
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(300, Set.of(A, B, C), a, b);
    Map<Long, BackendServer> late = new HashMap<>();
    for (int t = 1; t <= 60; t++) {
      run(EngineLiveness.TICK_MS, Set.of(), a);
      liveness.contentReceived(b, entry.clock.nowMs(), false);
      probed.forEach(s -> late.put(entry.clock.nowMs() + 150 + late.size(), s));
      probed.clear();
      late.keySet().stream()
          .filter(ms -> ms <= entry.clock.nowMs())
          .toList()
          .forEach(ms -> liveness.probeAnswered(late.remove(ms)));
    }
    assertEquals(List.of(), lost);
  }

  /** Guards against a verdict that waits for a control probe after many engines were probed. */
  @Test
  void manyEnginesAreLostAtOnce() {
    List<BackendServer> all = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      all.add(FailoverFixture.server("e" + i, "d1"));
    }
    entry.list(all.toArray(new BackendServer[0]));
    entry.state = entry.state.withEntries(8);
    Attempt[] streams = all.stream().map(this::stream).toArray(Attempt[]::new);
    run(300, Set.copyOf(all), streams);
    Set<BackendServer> alive = Set.copyOf(all.subList(7, 20));
    run(200, alive, streams);
    assertEquals(Set.copyOf(all.subList(0, 7)), Set.copyOf(lost));
  }

  /** Guards against probes of engines that copy no runs, where a verdict would help nobody. */
  @Test
  void enginesWithoutBackupsAreNotProbed() {
    entry.desire(FailoverFixture.group(false));
    Attempt a = stream(A);
    Attempt b = stream(B);
    run(600, Set.of(B, C), a, b);
    assertEquals(List.of(), probed);
    entry.desire(FailoverFixture.group(true));
    Attempt again = stream(A);
    run(600, Set.of(B, C), again, b);
    assertEquals(List.of(A), lost);
  }

  /** Guards against probes without bound while many engines are slow. */
  @Test
  void probesAreLimited() {
    stream(A);
    for (int i = 0; i < 100; i++) {
      run(100, Set.of(A, B, C));
    }
    double most = EngineLiveness.PROBE_BURST + 10 * EngineLiveness.PROBES_PER_S;
    assertTrue(probed.size() <= most, probed.size() + " probes in 10 s");
  }
}

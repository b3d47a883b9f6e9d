package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.AdmissionSimulation.Kind;
import org.cowslipyoke.relay.AdmissionSimulation.Tally;

/**
 * Engine of {@link AdmissionSimulation}. It admits waiting prompts by priority while they fit its
 * memory and prefills the admitted ones in order. If the memory is full, a more urgent prompt
 * preempts the newest of the least urgent requests, which is prefilled again later and counts as
 * late.
 */
final class SimulatedEngine {

  private static final long CAPACITY = 64_000;
  private static final long FIRST_TOKEN_MS = 5;

  /** Runs actions at a virtual time. */
  @FunctionalInterface
  interface Scheduler {

    /** Runs an action in some milliseconds. */
    void at(long inMs, Runnable action);
  }

  /** One request at an engine. */
  static final class Job {
    final Kind kind;
    final long startMs;
    final PromptWork work;
    final ServerLoad load;
    boolean running;
    boolean answered;
    boolean inTime;

    /** Number of times that the engine admitted it; events of earlier times have no effect. */
    int admissions;

    Job(Kind kind, long startMs, PromptWork work, ServerLoad load) {
      this.kind = kind;
      this.startMs = startMs;
      this.work = work;
      this.load = load;
    }

    int tokens() {
      return kind.tokens();
    }
  }

  private final List<Job> waiting = new ArrayList<>();
  private final Deque<Job> admitted = new ArrayDeque<>();

  /** Requests in memory, the newest last. */
  private final List<Job> resident = new ArrayList<>();

  private int running;
  private boolean busy;

  private final ManualClock clock;
  private final Scheduler scheduler;
  private final Map<Kind, Tally> tallies;

  SimulatedEngine(ManualClock clock, Scheduler scheduler, Map<Kind, Tally> tallies) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.tallies = tallies;
  }

  void add(Job j) {
    waiting.add(j);
    admit();
  }

  private void admit() {
    waiting.sort(Comparator.comparingInt(x -> x.kind.rank()));
    while (!waiting.isEmpty() && makeRoom(waiting.get(0))) {
      Job j = waiting.remove(0);
      j.admissions++;
      resident.add(j);
      admitted.add(j);
    }
    if (!busy && !admitted.isEmpty()) {
      busy = true;
      Job j = admitted.remove();
      EngineProfile p = EngineProfile.INITIAL;
      int admission = j.admissions;
      scheduler.at(Math.round(p.prefillMs(j.tokens(), running)), () -> prefilled(j, admission));
    }
  }

  private boolean makeRoom(Job j) {
    long used = resident.stream().mapToLong(Job::tokens).sum();
    while (used + j.tokens() > CAPACITY) {
      Job newest = null;
      for (Job r : resident) {
        int rank = r.kind.rank();
        boolean yields = rank > j.kind.rank();
        newest = yields && (newest == null || rank >= newest.kind.rank()) ? r : newest;
      }
      if (newest == null) {
        return false;
      }
      used -= newest.tokens();
      preempt(newest);
    }
    return true;
  }

  private void preempt(Job j) {
    remove(j);
    admitted.remove(j);
    j.admissions++;
    waiting.add(j);
    Tally t = requireNonNull(tallies.get(j.kind));
    t.preempted++;
    t.inTime -= j.inTime ? 1 : 0;
    t.late += j.inTime ? 1 : 0;
    j.inTime = false;
  }

  private void prefilled(Job j, int admission) {
    busy = false;
    if (j.admissions == admission) {
      running++;
      j.running = true;
      scheduler.at(FIRST_TOKEN_MS, () -> answer(j, admission));
      scheduler.at(j.kind.answerMs(), () -> end(j, admission));
    }
    admit();
  }

  private void answer(Job j, int admission) {
    if (j.admissions != admission || j.answered) {
      return;
    }
    j.answered = true;
    Tally t = requireNonNull(tallies.get(j.kind));
    j.inTime = clock.nowMs() - j.startMs <= j.kind.objectiveMs();
    t.inTime += j.inTime ? 1 : 0;
    t.late += j.inTime ? 0 : 1;
    j.load.recordPrefillEnd(j.work);
  }

  private void end(Job j, int admission) {
    if (j.admissions == admission) {
      remove(j);
      j.load.recordEnd(j.work);
      admit();
    }
  }

  private void remove(Job j) {
    resident.remove(j);
    running -= j.running ? 1 : 0;
    j.running = false;
  }
}

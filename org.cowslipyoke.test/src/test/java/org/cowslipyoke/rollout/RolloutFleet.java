package org.cowslipyoke.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.AttemptEnd;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.AttemptObserver.Ended;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CandidateFilter.Placed;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.RequestKind;
import org.cowslipyoke.relay.Route;
import org.cowslipyoke.rollout.RolloutController.Situation;
import org.jspecify.annotations.Nullable;

/**
 * Entries, servers of two versions and a table in simulated time. Counts exactly what reaches which
 * version.
 */
final class RolloutFleet {

  static final String SERVICE = "s";
  static final String OLD = "v1";
  static final String TARGET = "v2";
  static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, 5_000);

  /** Time within which all entries know a new step. */
  static final long REPORTED_MS = 300;

  private static final int STEP_MS = 10;
  private static final int REPORT_MS = 50;
  private static final int AGENT_MS = 100;

  /** Time after the end of an owner after which another one holds the lease. */
  private static final int TAKEOVER_MS = 2_200;

  private static final List<String> ROUTES = List.of("a", "b", "c", "d");

  /** Result of a request at a server. */
  record Result(boolean failed, long ms) {}

  /** What happens to a request. */
  interface Behaviour {
    Result run(RolloutFleet fleet, BackendServer server, String route, Random random);
  }

  /** Answers of a sound server: log-normal around 100 ms, 2 of 1,000 fail. */
  static Result sound(Random random) {
    long ms = Math.round(100 * Math.exp(0.5 * random.nextGaussian()));
    return new Result(random.nextInt(1_000) < 2, ms);
  }

  private record Run(int entry, Attempt attempt, Result result, long endMs) {}

  final ManualClock clock = new ManualClock();
  final List<RolloutStep> steps = new ArrayList<>();
  final List<EntryRollouts> entries = new ArrayList<>();
  private final boolean[] down;
  private final Random random;
  private final double ratePerSecond;
  final int oldServers;
  private final double[] weights;
  private final Behaviour behaviour;
  private final RolloutController controller = new RolloutController(BOUNDS);
  private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparingLong(Run::endMs));
  private final Map<String, Integer> runningAt = new HashMap<>();
  private Map<String, BackendServer> servers = Map.of();
  private Map<String, RolloutOrder> orders = Map.of();
  private @Nullable RolloutState row;
  private long rowVersion;
  private int owner;
  private long ownerLostMs = Long.MIN_VALUE / 2;

  double reportLoss = 0.02;
  boolean storeDown;
  double burst = 1;
  long orderMs = -1;
  long deadlineMs;
  long requests;
  long targetRequests;
  long badAnswers;
  long fiftiethBadMs = Long.MAX_VALUE;
  long lastTargetMs;
  long oldRunningAtSuccess = -1;
  long sentToOldAfterSuccess;
  long refused;
  long reads;

  RolloutFleet(
      int entryCount, int oldServers, int newServers, double rate, long seed, Behaviour b) {
    this.random = new Random(seed);
    this.ratePerSecond = rate;
    this.oldServers = oldServers;
    this.behaviour = b;
    this.down = new boolean[entryCount];
    this.weights = new double[entryCount];
    double sum = 0;
    for (int i = 0; i < entryCount; i++) {
      // Uneven traffic: the first entry gets many times that of the last.
      weights[i] = 1.0 / (1 + i);
      sum += weights[i];
      entries.add(start(i));
    }
    for (int i = 0; i < entryCount; i++) {
      weights[i] /= sum;
    }
    Map<String, BackendServer> all = new HashMap<>();
    for (int i = 0; i < oldServers + newServers; i++) {
      String version = i < oldServers ? OLD : TARGET;
      BackendServer s =
          new BackendServer(
              "i" + i, 1, SERVICE, "h", 80, "d" + i % 4, false, 0, 96, Map.of(), version);
      all.put(s.id(), s);
    }
    servers = Map.copyOf(all);
  }

  private EntryRollouts start(int i) {
    EntryRollouts e = new EntryRollouts(clock, BOUNDS, "vm" + i, random, RolloutListener.NONE);
    e.setTableClock(t -> t);
    e.setOrders(orders, clock.nowMs());
    return e;
  }

  /** Servers of one version only, before the order. */
  private FleetState state() {
    Map<String, BackendServer> listed = new HashMap<>();
    for (BackendServer s : servers.values()) {
      if (orderMs >= 0 || s.software().equals(OLD)) {
        listed.put(s.id(), s);
      }
    }
    return cached(listed);
  }

  private FleetState lastState = FleetState.initial(0, 0);

  private FleetState cached(Map<String, BackendServer> listed) {
    Map<String, BackendServer> m =
        lastState.servers().equals(listed) ? lastState.servers() : listed;
    lastState =
        new FleetState(
            null, Set.of(), Map.of(), m, entries.size(), clock.nowMs(), clock.wallMs(), 0);
    return lastState;
  }

  /** Gives the order, or removes it if the target is empty. */
  void order(String target, long durationMs) {
    orders =
        target.isEmpty()
            ? Map.of()
            : Map.of(SERVICE, new RolloutOrder(SERVICE, target, durationMs));
    if (orderMs < 0) {
      orderMs = clock.nowMs();
      deadlineMs = orderMs + durationMs;
    }
    for (EntryRollouts e : entries) {
      e.setOrders(orders, clock.nowMs());
    }
  }

  /** Kills the owner and restarts its process a second later. */
  void killOwner() {
    down[owner] = true;
    ownerLostMs = clock.nowMs();
  }

  boolean ownerIsDown() {
    return down[owner];
  }

  /** Returns the state in the table; fails if there is none. */
  RolloutState row() {
    return Objects.requireNonNull(row);
  }

  /** Returns whether the table has a step. */
  boolean isAt(RolloutStep step) {
    return row != null && row.step() == step;
  }

  int running(BackendServer s) {
    return runningAt.getOrDefault(s.id(), 0);
  }

  long now() {
    return clock.nowMs();
  }

  /** Plays until the given time after the order, or until a condition on the time holds. */
  void play(long ms, IntPredicate stop) {
    long endMs = clock.nowMs() + ms;
    for (int step = 0; clock.nowMs() < endMs; step++) {
      clock.advance(STEP_MS);
      arrivals();
      endRuns();
      if (step % (REPORT_MS / STEP_MS) == 0) {
        report();
      }
      if (step % (AGENT_MS / STEP_MS) == 0) {
        agents();
      }
      if (stop.test(step)) {
        return;
      }
    }
  }

  private void arrivals() {
    double due = burst * ratePerSecond * STEP_MS / 1_000.0;
    for (double left = due; left > 0; left--) {
      if (left < 1 && random.nextDouble() >= left) {
        return;
      }
      double draw = random.nextDouble();
      int entry = 0;
      while (entry < weights.length - 1 && draw >= weights[entry]) {
        draw -= weights[entry++];
      }
      if (!down[entry]) {
        send(entry);
      }
    }
  }

  private void send(int entry) {
    FleetState state = state();
    String name = ROUTES.get(Math.min(3, (int) (-1.2 * Math.log(random.nextDouble()))));
    Route route =
        new Route(name, "h", "/", RequestKind.IDEMPOTENT, false, 5_000, 500, 2, 1, true, List.of());
    List<BackendServer> left =
        entries
            .get(entry)
            .filter(new Placed("r", route, SERVICE, 1, null, 0), state, state.available(SERVICE))
            .servers();
    if (left.isEmpty()) {
      refused++;
      return;
    }
    BackendServer s = left.get(random.nextInt(left.size()));
    boolean target = s.software().equals(TARGET);
    if (orderMs >= 0 && clock.nowMs() < deadlineMs) {
      requests++;
      targetRequests += target ? 1 : 0;
    }
    lastTargetMs = target ? clock.nowMs() : lastTargetMs;
    if (!target && isAt(RolloutStep.SUCCEEDED)) {
      sentToOldAfterSuccess++;
    }
    runningAt.merge(s.id(), 1, Integer::sum);
    Attempt a = new Attempt("r", route, SERVICE, s, null, 1, clock.nowMs());
    entries.get(entry).started(a);
    Result r = behaviour.run(this, s, name, random);
    runs.add(new Run(entry, a, r, clock.nowMs() + r.ms()));
  }

  private void endRuns() {
    while (!runs.isEmpty() && runs.peek().endMs() <= clock.nowMs()) {
      Run r = runs.remove();
      runningAt.merge(r.attempt().server().id(), -1, Integer::sum);
      boolean target = r.attempt().server().software().equals(TARGET);
      if (target && (r.result().failed() || r.result().ms() > 400)) {
        badAnswers++;
        fiftiethBadMs = badAnswers == 50 ? clock.nowMs() : fiftiethBadMs;
      }
      if (!down[r.entry()]) {
        AttemptEnd end = r.result().failed() ? AttemptEnd.FAILED : null;
        entries.get(r.entry()).contentReceived(r.attempt(), clock.nowMs(), true);
        entries
            .get(r.entry())
            .ended(r.attempt(), new Ended(end, end == null ? 200 : 500, false, r.result().ms()));
      }
    }
  }

  private void report() {
    for (int i = 0; i < entries.size(); i++) {
      Optional<RolloutReport> report = down[i] ? Optional.empty() : entries.get(i).nextReport();
      for (int j = 0; report.isPresent() && j < entries.size(); j++) {
        if (i != j && !down[j] && random.nextDouble() >= reportLoss) {
          entries.get(j).accept(report.get());
        }
      }
    }
  }

  private void agents() {
    FleetState state = state();
    boolean lost = ownerLostMs > Long.MIN_VALUE / 2;
    if (lost && clock.nowMs() - ownerLostMs >= TAKEOVER_MS) {
      ownerLostMs = Long.MIN_VALUE / 2;
      down[owner] = false;
      entries.set(owner, start(owner));
      owner = (owner + 1) % entries.size();
    }
    for (int i = 0; i < entries.size(); i++) {
      if (down[i]) {
        continue;
      }
      EntryRollouts e = entries.get(i);
      e.tick(state);
      boolean wanted = e.isActive() || !e.table().isKnown();
      if (wanted && !storeDown && e.table().isReadDue(clock.nowMs(), i)) {
        read(e, state);
      }
      e.setOwner(i == owner && e.isActive() && !storeDown);
      if (i == owner && e.isActive() && !storeDown && e.table().isKnown()) {
        Situation x = e.situation(SERVICE, state, clock.nowMs());
        Optional<RolloutState> next =
            controller.next(e.table().state(SERVICE), e.order(SERVICE), x);
        next.ifPresent(n -> write(n));
        if (next.isPresent()) {
          read(e, state);
        }
      }
    }
  }

  private void read(EntryRollouts e, FleetState state) {
    reads++;
    e.table().recordStart(clock.nowMs());
    Map<String, RolloutState> rows = row == null ? Map.of() : Map.of(SERVICE, row);
    e.table().update(rows, rowVersion, clock.nowMs(), clock.nowMs());
    e.tick(state);
  }

  private void write(RolloutState next) {
    row = next.ownedBy("vm" + owner);
    rowVersion++;
    steps.add(next.step());
    if (next.step() == RolloutStep.SUCCEEDED) {
      oldRunningAtSuccess =
          runs.stream().filter(r -> r.attempt().server().software().equals(OLD)).count();
    }
  }

  /** Returns the bound on the requests that a bad version may get. */
  double bound() {
    return BOUNDS.share() * requests + BOUNDS.slack();
  }

  /** Describes what happened. */
  String summary() {
    long endMs = row == null ? -1 : row.sinceMs() - orderMs;
    return String.format(
        "%s at %d ms %s: %d of %d requests, bound %.0f, %d bad answers, last to target %d ms,"
            + " 50th bad %d ms, old running %d, refused %d, reads %d",
        steps,
        endMs,
        row == null ? "" : row.reason(),
        targetRequests,
        requests,
        bound(),
        badAnswers,
        lastTargetMs - orderMs,
        fiftiethBadMs == Long.MAX_VALUE ? -1 : fiftiethBadMs - orderMs,
        oldRunningAtSuccess,
        refused,
        reads);
  }
}

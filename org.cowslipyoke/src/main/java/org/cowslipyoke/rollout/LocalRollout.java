package org.cowslipyoke.rollout;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.rollout.RolloutReport.ServiceReport;
import org.jspecify.annotations.Nullable;

/** One entry's part in a running rollout. Not thread-safe. */
final class LocalRollout {

  /** Age above which another entry's report says nothing about its progress, in milliseconds. */
  static final long PEER_MAX_AGE_MS = 1_200;

  /** Number of reports that contain a changed tally, so that two lost ones do no harm. */
  static final int REPEATS = 3;

  /** Maximum number of tallies in a report, which must fit a datagram. */
  static final int MAX_REPORTED = 40;

  private static final double OVERSAMPLED = 1.2;
  private static final int OVERSAMPLED_MIN = 2;
  private static final int MAX_PEERS = 1_024;

  private record Peer(ServiceReport report, long startedMs, long sequence, long atMs) {

    boolean isReplacedBy(RolloutReport r) {
      return r.startedMs() != startedMs ? r.startedMs() > startedMs : r.sequence() > sequence;
    }
  }

  final TargetAllowance allowance;
  final Evidence evidence = new Evidence();
  RolloutState state;
  private final Map<Series, Tally> own = new HashMap<>();
  private final Map<Series, Integer> unreported = new LinkedHashMap<>();
  private final Map<String, Peer> peers = new HashMap<>();
  private long requests;
  private long targetRequests;
  private boolean changed;
  private Verdict verdict = Verdict.NONE;
  private String halted = "";
  private boolean moved;
  private Map<String, Long> routeAnswers = Map.of();
  private Set<String> failing = Set.of();

  LocalRollout(RolloutState state, TargetAllowance allowance) {
    this.state = state;
    this.allowance = allowance;
  }

  /** Returns whether a state belongs to this rollout. */
  boolean matches(RolloutState s) {
    return s.target().equals(state.target()) && s.startedMs() == state.startedMs();
  }

  void recordRequest(boolean target) {
    requests++;
    if (target) {
      targetRequests++;
    }
    allowance.recordRequest(moved ? 0 : state.share());
  }

  /**
   * Returns whether this entry sends all requests to the target: from the time that {@link
   * RolloutStep#FINAL} states, unless a fault is suspected then.
   *
   * @param moveMs that time by the monotonic clock, null if unknown
   */
  boolean isMoved(@Nullable Long moveMs, long nowMs) {
    boolean due = state.step() == RolloutStep.FINAL && moveMs != null && nowMs >= moveMs;
    moved = due && (moved || !verdict.suspected());
    return moved;
  }

  private Tally tallyOf(Series s) {
    return own.getOrDefault(s, new Tally());
  }

  /** Returns the tally of own answers to add to. */
  Tally tally(Series s) {
    changed = true;
    unreported.put(s, REPEATS);
    return own.computeIfAbsent(s, x -> new Tally());
  }

  void accept(RolloutReport report, ServiceReport r, long nowMs) {
    String vm = report.vm();
    Peer before = peers.get(vm);
    if (before == null ? peers.size() < MAX_PEERS : before.isReplacedBy(report)) {
      peers.put(vm, new Peer(r, report.startedMs(), report.sequence(), nowMs));
    }
    evidence.accept(vm, report.startedMs(), r.tallies(), nowMs);
    changed = true;
    if (halted.isEmpty() && !r.halted().isEmpty()) {
      halted = r.halted();
    }
  }

  /**
   * Compares the versions; returns whether this entry has to stop now.
   *
   * @param targets servers of the target that may get work
   */
  boolean evaluate(String vm, long startedMs, long nowMs, List<BackendServer> targets) {
    if (!changed) {
      return false;
    }
    changed = false;
    evidence.accept(vm, startedMs, own, nowMs);
    verdict = new VersionComparison(evidence, nowMs, moved, targets).verdict();
    routeAnswers = evidence.targetAnswers();
    failing = evidence.failingServers();
    if (halted.isEmpty() && !verdict.fault().isEmpty()) {
      halted = verdict.fault();
      return true;
    }
    return false;
  }

  /**
   * Returns whether a route has so many answers of the target that the next requests to it should
   * be those of other routes, so that a fault on a route with little traffic shows.
   */
  boolean isOversampled(String route) {
    long sum = 0;
    for (long n : routeAnswers.values()) {
      sum += n;
    }
    double mean = (double) sum / Math.max(1, routeAnswers.size());
    return routeAnswers.getOrDefault(route, 0L) > OVERSAMPLED * mean + OVERSAMPLED_MIN
        && !allowance.isFull();
  }

  /** Returns the servers of the target that fail too often to get more canary requests. */
  Set<String> failingServers() {
    return failing;
  }

  Verdict verdict() {
    return verdict;
  }

  /** Returns why nothing is sent to the target, empty if requests are. */
  String halted() {
    return halted;
  }

  long targetRequests() {
    return targetRequests;
  }

  long requests() {
    return requests;
  }

  /** Returns the number of requests to the service that the fleet has sent, as far as known. */
  long fleetRequests() {
    return requests + peers.values().stream().mapToLong(p -> p.report().requests()).sum();
  }

  /** Returns the number of requests to the target that the fleet has sent, as far as known. */
  long fleetTargetRequests() {
    return targetRequests
        + peers.values().stream().mapToLong(p -> p.report().targetRequests()).sum();
  }

  /**
   * Returns the number of other entries that apply the last step and run nothing at old servers.
   */
  int drainedPeers(long nowMs) {
    return (int)
        peers.values().stream()
            .filter(p -> nowMs - p.atMs() <= PEER_MAX_AGE_MS)
            .filter(p -> p.report().step() == RolloutStep.FINAL.number())
            .filter(p -> p.report().oldInFlight() == 0)
            .count();
  }

  /**
   * Returns the report of this entry, with the tallies that changed since the last ones.
   *
   * @param current whether the entry applies the step of {@link #state}
   */
  ServiceReport report(boolean current, int oldInFlight) {
    Map<Series, Tally> copy = new HashMap<>();
    for (Series s : List.copyOf(unreported.keySet())) {
      if (copy.size() < MAX_REPORTED) {
        copy.put(s, tallyOf(s).copy());
        unreported.computeIfPresent(s, (k, n) -> n <= 1 ? null : n - 1);
      }
    }
    int step = state.step().number();
    int applied = state.step() == RolloutStep.FINAL && !moved ? RolloutStep.WIDER.number() : step;
    return new ServiceReport(
        state.service(),
        state.startedMs(),
        current ? applied : 0,
        halted,
        requests,
        targetRequests,
        oldInFlight,
        copy);
  }
}

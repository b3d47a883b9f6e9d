package org.cowslipyoke.rollout;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.cowslipyoke.relay.AttemptEnd;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.AttemptObserver.Ended;
import org.jspecify.annotations.Nullable;

/**
 * Follows the attempts of one entry: the number that run at servers of each version, and how those
 * of running rollouts end. Not thread-safe.
 */
final class AttemptTracker {

  /** Time that an answer without a prompt is divided by, in milliseconds. */
  private static final double NOMINAL_MS = 10;

  /** Minimum expected time of a prompt, in milliseconds. */
  private static final double MIN_ESTIMATE_MS = 5;

  private static final class Running {
    long firstMs = -1;
    boolean overdue;
  }

  private final VersionSightings sightings;
  private final IdentityHashMap<Attempt, Running> attempts = new IdentityHashMap<>();
  private final Map<String, Map<String, Integer>> inFlight = new HashMap<>();

  AttemptTracker(VersionSightings sightings) {
    this.sightings = sightings;
  }

  /**
   * Records the start of an attempt.
   *
   * @param compared whether its end is evidence in a rollout
   */
  void recordStart(Attempt a, boolean compared) {
    inFlight
        .computeIfAbsent(a.service(), x -> new HashMap<>())
        .merge(a.server().software(), 1, Integer::sum);
    if (compared) {
      attempts.put(a, new Running());
    }
  }

  void recordFirstContent(Attempt a, long nowMs) {
    Running x = attempts.get(a);
    if (x != null) {
      x.firstMs = nowMs;
    }
  }

  /** Records the end of an attempt; returns whether it is a failure of the target. */
  boolean recordEnd(Attempt a, Ended e, @Nullable LocalRollout r) {
    Map<String, Integer> running = inFlight.get(a.service());
    if (running != null) {
      running.computeIfPresent(a.server().software(), (v, n) -> n <= 1 ? null : n - 1);
    }
    Running x = attempts.remove(a);
    return x != null
        && r != null
        && !x.overdue
        && count(r, a, e, x.firstMs < 0 ? -1 : x.firstMs - a.startMs());
  }

  /**
   * Counts the running requests that are already slow. Otherwise a slow version would look fast
   * until its slow answers end.
   *
   * @param limits bucket by route above which a time is slow
   */
  void countOverdue(LocalRollout r, Map<String, Integer> limits, long nowMs) {
    attempts.forEach(
        (a, x) -> {
          Integer limit = limits.get(a.route().name());
          boolean waits = x.firstMs < 0 || a.plan() == null;
          if (limit == null || x.overdue || !waits || !a.service().equals(r.state.service())) {
            return;
          }
          long ms = nowMs - a.startMs();
          Series series = series(r, a);
          if (series != null && Tally.bucket(ms / expectedMs(a)) > limit) {
            x.overdue = true;
            addTime(r.tally(series), a, ms);
          }
        });
  }

  /** Returns the number of requests that run at servers of other versions than the target. */
  int oldInFlight(RolloutState s) {
    int n = 0;
    for (var e : inFlight.getOrDefault(s.service(), Map.of()).entrySet()) {
      n += e.getKey().equals(s.target()) ? 0 : e.getValue();
    }
    return n;
  }

  private boolean count(LocalRollout r, Attempt a, Ended e, long firstMs) {
    Series series = series(r, a);
    if (series == null) {
      return false;
    }
    if (e.callerLeft()) {
      countAbandoned(r, a, e, series, firstMs);
    } else if (e.end() == AttemptEnd.FAILED || e.end() == AttemptEnd.BROKEN) {
      r.tally(series).addFailure();
      return series.isTarget();
    } else if (e.end() == null) {
      boolean stream = a.plan() != null && firstMs >= 0;
      addTime(r.tally(series), a, stream ? firstMs : e.tookMs());
    }
    return false;
  }

  /** Counts a request that its caller gave up; it is evidence only if the objective was missed. */
  private void countAbandoned(LocalRollout r, Attempt a, Ended e, Series series, long firstMs) {
    long objective = a.route().objectiveMs();
    long ms = firstMs >= 0 ? firstMs : e.tookMs();
    if (firstMs >= 0 || (objective > 0 && e.tookMs() >= objective)) {
      addTime(r.tally(series), a, ms);
    }
  }

  private void addTime(Tally t, Attempt a, long ms) {
    if (!sightings.isWarm(a.server())) {
      t.addUntimed();
      return;
    }
    t.addTime(Tally.bucket(ms / expectedMs(a)));
  }

  private static double expectedMs(Attempt a) {
    return a.plan() == null ? NOMINAL_MS : Math.max(MIN_ESTIMATE_MS, a.plan().estimateMs());
  }

  /** Returns the series that an attempt belongs to, null if its version is neither. */
  private static @Nullable Series series(LocalRollout r, Attempt a) {
    if (a.server().software().equals(r.state.target())) {
      return new Series(a.route().name(), a.server().incarnation());
    }
    return VersionChoice.isOld(a.server(), r.state) ? new Series(a.route().name(), "") : null;
  }
}

package org.cowslipyoke.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Answers of both versions as far as this entry knows them, from its own requests and the reports
 * of the others: since the order, and recently. Not thread-safe.
 */
final class Evidence {

  /** Length of the recent time span in milliseconds; a fault that begins late is not diluted. */
  static final long RECENT_MS = 2_000;

  private static final long SLOT_MS = 250;

  private static final int FAILING_MIN = 3;
  private static final int FAILING_RATIO = 4;

  /** Maximum number of entries and series that are kept; above the largest planned deployment. */
  private static final int MAX_SOURCES = 1_024;

  private static final int MAX_SERIES = 4_096;

  private record Source(String vm, long startedMs) {}

  private record Slot(long atMs, Map<Series, Tally> tallies) {}

  private final Map<Source, Map<Series, Tally>> last = new HashMap<>();
  private final Map<Series, Tally> total = new HashMap<>();

  /** Weighted answers of the old versions by route, in slots that are no longer recent. */
  private final Map<String, Tally.Weighted> expired = new HashMap<>();

  private final Deque<Slot> slots = new ArrayDeque<>();

  /** Applies the cumulative counts of an entry; counts that decrease are those of an old report. */
  void accept(String vm, long startedMs, Map<Series, Tally> cumulative, long nowMs) {
    Source source = new Source(vm, startedMs);
    if (!last.containsKey(source) && last.size() >= MAX_SOURCES) {
      return;
    }
    Map<Series, Tally> before = last.computeIfAbsent(source, s -> new HashMap<>());
    cumulative.forEach(
        (series, now) -> {
          Tally earlier = before.getOrDefault(series, new Tally());
          if (!now.covers(earlier) || (total.size() >= MAX_SERIES && !total.containsKey(series))) {
            return;
          }
          Tally increase = now.minus(earlier);
          if (increase.answers() > 0) {
            before.put(series, now.copy());
            total.computeIfAbsent(series, s -> new Tally()).add(increase, 1);
            slot(nowMs).tallies().computeIfAbsent(series, s -> new Tally()).add(increase, 1);
          }
        });
  }

  private Slot slot(long nowMs) {
    expire(nowMs);
    Slot newest = slots.peekLast();
    if (newest == null || nowMs - newest.atMs() >= SLOT_MS) {
      newest = new Slot(nowMs, new HashMap<>());
      slots.addLast(newest);
    }
    return newest;
  }

  private void expire(long nowMs) {
    for (Slot s = slots.peekFirst(); s != null && nowMs - s.atMs() > RECENT_MS; ) {
      weigh(slots.removeFirst().tallies(), expired);
      s = slots.peekFirst();
    }
  }

  /** Returns the answers since the order, those of the old versions weighted by time. */
  Map<Series, Tally> total() {
    Map<String, Tally.Weighted> weighted = new HashMap<>();
    expired.forEach((route, w) -> weighted.put(route, w.copy()));
    slots.forEach(s -> weigh(s.tallies(), weighted));
    return withOld(new HashMap<>(total), weighted);
  }

  /** Returns the answers of the last {@link #RECENT_MS}, weighted in the same way. */
  Map<Series, Tally> recent(long nowMs) {
    expire(nowMs);
    Map<Series, Tally> sum = new HashMap<>();
    Map<String, Tally.Weighted> weighted = new HashMap<>();
    for (Slot s : slots) {
      s.tallies().forEach((k, t) -> sum.computeIfAbsent(k, x -> new Tally()).add(t, 1));
      weigh(s.tallies(), weighted);
    }
    return withOld(sum, weighted);
  }

  /**
   * Adds a slot's answers of the old versions, weighted so that they spread over time as the
   * target's answers on their route do. The share of the target changes, new servers' times do not
   * count, and a route may wait for others, so a burst would else be most of the target's answers
   * but few of the old versions'.
   */
  private static void weigh(Map<Series, Tally> slot, Map<String, Tally.Weighted> sums) {
    Map<String, Tally> targets = new HashMap<>();
    slot.forEach(
        (k, t) -> {
          if (k.isTarget()) {
            targets.computeIfAbsent(k.route(), r -> new Tally()).add(t, 1);
          }
        });
    targets.forEach(
        (route, target) -> {
          Tally old = slot.get(new Series(route, ""));
          if (old != null) {
            sums.computeIfAbsent(route, r -> new Tally.Weighted()).add(old, target);
          }
        });
  }

  private static Map<Series, Tally> withOld(
      Map<Series, Tally> all, Map<String, Tally.Weighted> weighted) {
    weighted.forEach(
        (route, w) -> all.computeIfPresent(new Series(route, ""), (k, old) -> w.rounded()));
    return all;
  }

  /** Returns the routes that have answers. */
  Set<String> routes() {
    Set<String> routes = new TreeSet<>();
    total.keySet().forEach(s -> routes.add(s.route()));
    return routes;
  }

  /** Returns the servers of the target of whose answers at least a quarter and three failed. */
  Set<String> failingServers() {
    Map<String, Tally> byServer = new HashMap<>();
    total.forEach(
        (series, t) -> {
          if (series.isTarget()) {
            byServer.computeIfAbsent(series.server(), s -> new Tally()).add(t, 1);
          }
        });
    byServer
        .values()
        .removeIf(t -> t.failures() < FAILING_MIN || FAILING_RATIO * t.failures() < t.answers());
    return Set.copyOf(byServer.keySet());
  }

  /** Returns the number of answers of the target by route, for all routes that have answers. */
  Map<String, Long> targetAnswers() {
    Map<String, Long> answers = new HashMap<>();
    total.forEach(
        (series, t) ->
            answers.merge(series.route(), series.isTarget() ? t.answers() : 0, Long::sum));
    return answers;
  }

  /**
   * Returns the bucket by route above which only a fraction of the old versions' times lie, for
   * routes with enough of them.
   */
  Map<String, Integer> oldLimits(double fractionAbove, int minTimed) {
    Map<String, Integer> limits = new HashMap<>();
    total.forEach(
        (series, t) -> {
          if (!series.isTarget() && t.timed() >= minTimed) {
            limits.put(series.route(), t.quantileBucket(fractionAbove));
          }
        });
    return limits;
  }

  /** Returns all answers of the target or of the old versions. */
  Tally sum(boolean target) {
    Tally sum = new Tally();
    total.forEach(
        (series, t) -> {
          if (series.isTarget() == target) {
            sum.add(t, 1);
          }
        });
    return sum;
  }
}

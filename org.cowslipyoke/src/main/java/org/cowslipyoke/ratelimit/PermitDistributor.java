package org.cowslipyoke.ratelimit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Distributes the permits of one server over the entries that have demanded some, in proportion to
 * their demands. A permit is for one request, so that the total is bounded whatever the number of
 * entries. Not thread-safe.
 */
final class PermitDistributor {

  /** Time over which unused permits accumulate, in seconds. */
  static final double BURST_S = 0.25;

  /** The demand of one entry and the permits that it is owed. */
  private static final class Share {
    private int arrivals;
    private long demandedMs;
    private double owed;
  }

  private final Map<String, Share> shares = new HashMap<>();
  private final long startMs;
  private double available;
  private long accruedMs;
  private long lastDemandMs;

  /**
   * Creates a distributor.
   *
   * @param startMs time from which permits accrue, in monotonic milliseconds
   */
  PermitDistributor(long startMs) {
    this.startMs = startMs;
    this.accruedMs = startMs;
    this.lastDemandMs = startMs;
  }

  /**
   * Records a demand of an entry, which replaces its previous one.
   *
   * @param unused permits that the entry has not used, which become available again
   */
  void demand(String vm, int arrivals, int unused, long nowMs) {
    available += unused;
    Share s = shares.computeIfAbsent(vm, k -> new Share());
    s.arrivals = arrivals;
    s.demandedMs = nowMs;
    lastDemandMs = Math.max(lastDemandMs, nowMs);
  }

  /** Returns the time of the last demand in monotonic milliseconds. */
  long lastDemandMs() {
    return lastDemandMs;
  }

  /** Returns whether an entry other than the given one has demanded permits since a time. */
  boolean isDemandedByOthers(String vm, long sinceMs) {
    return shares.entrySet().stream()
        .anyMatch(e -> !e.getKey().equals(vm) && e.getValue().demandedMs >= sinceMs);
  }

  /**
   * Returns the permits that have accrued by entry, and removes them.
   *
   * @param rate permits per second
   * @param validMs time for which a demand holds, in milliseconds
   */
  Map<String, Integer> take(double rate, long validMs, long nowMs) {
    shares.values().removeIf(s -> nowMs - s.demandedMs > validMs);
    if (nowMs < startMs) {
      return Map.of();
    }
    available = Math.min(available + rate * (nowMs - accruedMs) / 1_000, 1 + rate * BURST_S);
    accruedMs = nowMs;
    long total = shares.values().stream().mapToLong(s -> s.arrivals).sum();
    int permits = (int) available;
    if (permits == 0 || total == 0) {
      return Map.of();
    }
    available -= permits;
    shares.values().forEach(s -> s.owed += (double) permits * s.arrivals / total);
    Map<String, Integer> granted = new HashMap<>();
    for (int i = 0; i < permits; i++) {
      Map.Entry<String, Share> next = mostOwed();
      granted.merge(next.getKey(), 1, Integer::sum);
      next.getValue().owed--;
    }
    return granted;
  }

  private Map.Entry<String, Share> mostOwed() {
    return shares.entrySet().stream()
        .filter(e -> e.getValue().arrivals > 0)
        .max(Comparator.comparingDouble(e -> e.getValue().owed))
        .orElseThrow();
  }
}

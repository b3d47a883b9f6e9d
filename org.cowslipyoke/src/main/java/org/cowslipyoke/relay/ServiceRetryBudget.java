package org.cowslipyoke.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.util.Clock;

/**
 * Limits the repeated arrivals of requests at a service: this entry's share of a constant that all
 * entries have together, plus a part of its own requests, in any window.
 */
public final class ServiceRetryBudget {

  /** Part of the allowance that is used, so that entries with unequal traffic stay below it. */
  static final double USED_PART = 0.7;

  private static final class Counts {
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();
  }

  private final Clock clock;
  private final long windowMs;
  private final double ratio;
  private final double constant;
  private final Map<String, Counts> services = new HashMap<>();

  /**
   * Creates the budget.
   *
   * @param ratio repeats that each request earns
   * @param constant repeats in a window, of all entries together, that need no requests
   */
  public ServiceRetryBudget(Clock clock, long windowMs, double ratio, double constant) {
    this.clock = clock;
    this.windowMs = windowMs;
    this.ratio = ratio;
    this.constant = constant;
  }

  /** Counts a request for a service. */
  public synchronized void onRequest(String service) {
    counts(service).requests.addLast(clock.nowMs());
  }

  /** Takes one repeat; returns false if the budget is used up. */
  public synchronized boolean tryRepeat(String service, int entries) {
    Counts c = counts(service);
    double share = constant / Math.max(1, entries);
    if (c.repeats.size() >= USED_PART * (ratio * c.requests.size() + share)) {
      return false;
    }
    c.repeats.addLast(clock.nowMs());
    return true;
  }

  private Counts counts(String service) {
    Counts c = services.computeIfAbsent(service, s -> new Counts());
    long oldest = clock.nowMs() - windowMs;
    dropBefore(c.requests, oldest);
    dropBefore(c.repeats, oldest);
    return c;
  }

  private static void dropBefore(Deque<Long> times, long oldest) {
    while (!times.isEmpty() && times.getFirst() < oldest) {
      times.removeFirst();
    }
  }
}

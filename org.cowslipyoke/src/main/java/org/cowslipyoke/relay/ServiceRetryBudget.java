package org.cowslipyoke.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.util.Clock;

/**
 * Limits the retries to each service in a sliding window, to a fraction of this entry's requests
 * plus this entry's share of a constant that all entries share.
 */
public final class ServiceRetryBudget {

  /**
   * Fraction of the budget that is used, so that entries with unequal traffic together stay within
   * it.
   */
  static final double USED_FRACTION = 0.7;

  private static final class Counts {
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();
  }

  private final Clock clock;
  private final long windowMs;
  private final double ratio;
  private final double constant;
  private final Map<String, Counts> services = new HashMap<>();

  /**
   * Creates the budget.
   *
   * @param windowMs length of the window in milliseconds
   * @param ratio retries allowed per request
   * @param constant retries allowed per window regardless of the number of requests, for all
   *     entries together
   */
  public ServiceRetryBudget(Clock clock, long windowMs, double ratio, double constant) {
    this.clock = clock;
    this.windowMs = windowMs;
    this.ratio = ratio;
    this.constant = constant;
  }

  /** Counts a request for a service. */
  public synchronized void recordRequest(String service) {
    counts(service).requests.addLast(clock.nowMs());
  }

  /**
   * Acquires one retry; returns false if the budget is used up.
   *
   * @param entries number of live entries
   */
  public synchronized boolean tryAcquire(String service, int entries) {
    Counts c = counts(service);
    double share = constant / Math.max(1, entries);
    if (c.retries.size() >= USED_FRACTION * (ratio * c.requests.size() + share)) {
      return false;
    }
    c.retries.addLast(clock.nowMs());
    return true;
  }

  private Counts counts(String service) {
    Counts c = services.computeIfAbsent(service, s -> new Counts());
    long oldest = clock.nowMs() - windowMs;
    dropBefore(c.requests, oldest);
    dropBefore(c.retries, oldest);
    return c;
  }

  private static void dropBefore(Deque<Long> times, long oldest) {
    while (!times.isEmpty() && times.getFirst() < oldest) {
      times.removeFirst();
    }
  }
}

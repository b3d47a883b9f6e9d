package org.cowslipyoke.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipyoke.relay.ServerNotice;

/** The rate that one incarnation of a server has named, and the permits of this entry. */
final class RateLimit {

  /** Time for which a permit holds, in milliseconds. */
  static final long PERMIT_MS = 1_500;

  /**
   * Lowest rate at which permits accrue, in requests per second. A server that names less still
   * gets a request now and then, because only its responses show that the limit has ended.
   */
  static final double MIN_RATE = 0.25;

  /** Maximum number of requests that are sent without a permit and paid for by later ones. */
  private static final int MAX_DEBT = 8;

  /** Maximum number of permits of one grant; above a burst at the highest rate. */
  private static final int MAX_GRANT = 1_000;

  private final Deque<Long> permitEndsMs = new ArrayDeque<>();
  private double rate = ServerNotice.NO_RATE;
  private long namedMs;
  private long limitedSinceMs;
  private int debt;
  private int arrivals;
  private int unused;
  private long demandedMs;
  private double share;
  private long shareMs;

  RateLimit(long nowMs) {
    namedMs = Long.MIN_VALUE;
    demandedMs = nowMs - Integer.MAX_VALUE;
    shareMs = nowMs;
  }

  boolean isLimited() {
    return rate != ServerNotice.NO_RATE;
  }

  /** Returns the rate in requests per second, {@link ServerNotice#NO_RATE} without a limit. */
  double rate() {
    return rate;
  }

  /** Returns the rate at which permits accrue. */
  double permitRate() {
    return Math.max(MIN_RATE, rate);
  }

  /** Returns the monotonic time of the response that named the rate, in milliseconds. */
  long namedMs() {
    return namedMs;
  }

  /** Returns the monotonic time since which there has been a limit, in milliseconds. */
  long limitedSinceMs() {
    return limitedSinceMs;
  }

  /**
   * Applies a statement unless a newer one is known.
   *
   * @param statedMs monotonic time of the response from which it is known, in milliseconds
   * @return whether the rate has changed
   */
  boolean update(double newRate, long statedMs, long nowMs) {
    if (statedMs < namedMs) {
      return false;
    }
    namedMs = statedMs;
    boolean changed = newRate != rate;
    if (!isLimited() && changed) {
      limitedSinceMs = nowMs;
      share = 0;
      shareMs = nowMs;
    }
    if (newRate < rate) {
      permitEndsMs.clear();
    }
    rate = newRate;
    return changed;
  }

  void recordArrival() {
    arrivals++;
  }

  /** Returns whether a demand is due. */
  boolean isDemandDue(long intervalMs, long nowMs) {
    return arrivals > 0 && nowMs - demandedMs >= intervalMs;
  }

  /** Returns the requests since the last demand, and starts anew. */
  int takeArrivals(long nowMs) {
    int n = arrivals;
    arrivals = 0;
    demandedMs = nowMs;
    return n;
  }

  boolean hasPermit(long nowMs) {
    expire(nowMs);
    return !permitEndsMs.isEmpty();
  }

  private void expire(long nowMs) {
    int before = permitEndsMs.size();
    permitEndsMs.removeIf(end -> end <= nowMs);
    unused += before - permitEndsMs.size();
  }

  /** Returns the permits that have expired unused since the last call. */
  int takeUnused(long nowMs) {
    expire(nowMs);
    int n = unused;
    unused = 0;
    return n;
  }

  /**
   * Uses a permit. Without one, the request counts against the next, because two requests may have
   * been placed for the same permit.
   */
  void usePermit() {
    if (permitEndsMs.poll() == null) {
      debt = Math.min(MAX_DEBT, debt + 1);
    }
  }

  void addPermits(int n, long nowMs) {
    int paid = Math.min(n, debt);
    debt -= paid;
    for (int i = paid; i < Math.min(n, MAX_GRANT); i++) {
      permitEndsMs.add(nowMs + PERMIT_MS);
    }
  }

  /** Adds the permits of an equal share of the rate, for an entry that reaches no other. */
  void accrueShare(int entries, long nowMs) {
    share = Math.min(1, share + permitRate() / entries * (nowMs - shareMs) / 1_000);
    shareMs = nowMs;
    if (share >= 1) {
      share = 0;
      addPermits(1, nowMs);
    }
  }

  /** Restarts the accrual of the share while permits come from another entry. */
  void resetShare(long nowMs) {
    share = 0;
    shareMs = nowMs;
  }
}

package org.cowslipyoke.rollout;

/**
 * Requests that one entry may send to the target version: each of its requests to the service adds
 * the share, each to the target takes one. The requests of the whole fleet to the target therefore
 * stay within the share of all requests and the initial allowances, however uneven the traffic of
 * the entries is. Not thread-safe.
 */
final class TargetAllowance {

  /**
   * Fraction of the slack that the initial allowances of all entries use at most; the rest covers
   * entries that restart or know too few of the others.
   */
  static final double SLACK_FRACTION = 0.8;

  /** Maximum allowance that is kept, so that no burst follows a time without target servers. */
  static final double MAX = 2;

  private double available;

  /**
   * Creates an allowance.
   *
   * @param entries number of live entries
   * @param draw random number, uniform in [0, 1); spreads the first requests to the target
   */
  TargetAllowance(int slack, int entries, double draw) {
    this.available = Math.min(1, draw * SLACK_FRACTION * slack / Math.max(1, entries));
  }

  /** Adds the share for one request that is sent to a server of the service. */
  void recordRequest(double share) {
    available = Math.min(MAX, available + share);
  }

  /** Returns whether further requests add nothing. */
  boolean isFull() {
    return available >= MAX;
  }

  /** Takes one request to the target; returns false if it must go to an old server. */
  boolean tryTake() {
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}

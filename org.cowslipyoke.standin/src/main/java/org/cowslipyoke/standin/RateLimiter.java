package org.cowslipyoke.standin;

/** Rate limiter; callers queue up to a maximum waiting time. */
final class RateLimiter {

  private final double perSecond;
  private final long maxQueueNs;
  private long freeAtNs = System.nanoTime();

  RateLimiter(double perSecond, long maxQueueMs) {
    this.perSecond = perSecond;
    this.maxQueueNs = maxQueueMs * 1_000_000;
  }

  /** Waits for capacity; returns false at once if the wait would exceed the maximum. */
  boolean admit(int units) throws InterruptedException {
    long waitNs;
    synchronized (this) {
      long now = System.nanoTime();
      long free = Math.max(freeAtNs, now);
      waitNs = free - now;
      if (waitNs > maxQueueNs) {
        return false;
      }
      freeAtNs = free + (long) (units * 1e9 / perSecond);
    }
    if (waitNs >= 1_000_000) {
      Thread.sleep(waitNs / 1_000_000);
    }
    return true;
  }
}

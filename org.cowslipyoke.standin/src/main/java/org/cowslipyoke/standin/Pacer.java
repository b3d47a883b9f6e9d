package org.cowslipyoke.standin;

/** Limits a rate; callers queue up to a bound. */
final class Pacer {

  private final double perSecond;
  private final long maxQueueNs;
  private long freeAtNs = System.nanoTime();

  Pacer(double perSecond, long maxQueueMs) {
    this.perSecond = perSecond;
    this.maxQueueNs = maxQueueMs * 1_000_000;
  }

  /** Waits for capacity; returns false if the queue is longer than the bound. */
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

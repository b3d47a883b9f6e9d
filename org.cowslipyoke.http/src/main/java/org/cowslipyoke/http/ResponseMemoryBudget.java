package org.cowslipyoke.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory of responses that are buffered before they are passed on. A server that sends
 * endless data must neither exhaust the heap nor block the responses of other servers: each
 * response has a small reserve of its own, and larger ones draw on a shared budget.
 */
public final class ResponseMemoryBudget {

  /** Bytes reserved for each response; those of services that run no model have 800 bytes. */
  public static final int RESERVED_BYTES = 64 << 10;

  private final long sharedBytes;
  private final AtomicLong taken = new AtomicLong();

  /**
   * Creates a budget.
   *
   * @param sharedBytes bytes that all responses together may have beyond their reserves
   */
  public ResponseMemoryBudget(long sharedBytes) {
    this.sharedBytes = sharedBytes;
  }

  /** Returns a budget that is a fraction of the heap. */
  public static ResponseMemoryBudget ofHeap(double fraction) {
    return new ResponseMemoryBudget(Math.round(Runtime.getRuntime().maxMemory() * fraction));
  }

  /** Takes bytes from the shared budget; takes none and returns false if they exceed it. */
  boolean tryAcquire(int bytes) {
    if (taken.addAndGet(bytes) > sharedBytes) {
      taken.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Returns bytes to the shared budget. */
  void release(long bytes) {
    taken.addAndGet(-bytes);
  }
}

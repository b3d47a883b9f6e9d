package org.cowslipyoke.daemon.relay;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory of responses that are buffered before they are passed on. A server that sends
 * endless data must neither exhaust the heap nor block the responses of other servers: each
 * response has a small reserve of its own, and larger ones draw on a shared budget.
 */
final class ResponseMemoryBudget {

  /** Bytes reserved for each response; those of services that run no model have 800 bytes. */
  static final int RESERVED_BYTES = 64 << 10;

  /** Bytes of the shared budget; a sixth of an entry's heap. */
  static final long SHARED_BYTES = 16L << 20;

  private final AtomicLong taken = new AtomicLong();

  /** Takes bytes from the shared budget; takes none and returns false if they exceed it. */
  boolean tryAcquire(int bytes) {
    if (taken.addAndGet(bytes) > SHARED_BYTES) {
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

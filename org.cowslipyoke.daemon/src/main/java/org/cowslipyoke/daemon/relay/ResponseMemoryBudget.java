package org.cowslipyoke.daemon.relay;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory of answers that are collected before they are passed on. Servers that send without end
 * must not use up the heap, and must leave room for the answers of others: each answer has a small
 * share of its own, and larger ones draw on a common one.
 */
final class ResponseMemoryBudget {

  /** Bytes that each answer may have; answers of plain services today have 800. */
  static final int OWN_BYTES = 64 << 10;

  /** Bytes that all answers together may have beyond their own; a sixth of an entry's heap. */
  static final long COMMON_BYTES = 16L << 20;

  private final AtomicLong taken = new AtomicLong();

  /** Takes bytes of the common share, none if they exceed it. */
  boolean tryTake(int bytes) {
    if (taken.addAndGet(bytes) > COMMON_BYTES) {
      taken.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Gives bytes back. */
  void give(long bytes) {
    taken.addAndGet(-bytes);
  }
}

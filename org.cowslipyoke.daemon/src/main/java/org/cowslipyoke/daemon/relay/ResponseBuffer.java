package org.cowslipyoke.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Collects one answer within the bounds of {@link ResponseMemoryBudget}. Not thread-safe. */
final class ResponseBuffer {

  /** Bytes of an answer that is kept until it is whole. */
  static final int MAX_BYTES = 4 << 20;

  private final ResponseMemoryBudget memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private long taken;

  ResponseBuffer(ResponseMemoryBudget memory) {
    this.memory = memory;
  }

  /** Adds bytes; returns false if the answer is too large or the memory is used up. */
  boolean add(ByteBuffer more) {
    int size = bytes.size() + more.remaining();
    long missing = size - ResponseMemoryBudget.OWN_BYTES - taken;
    if (size > MAX_BYTES || (missing > 0 && !memory.tryTake((int) missing))) {
      return false;
    }
    taken += Math.max(0, missing);
    byte[] b = new byte[more.remaining()];
    more.get(b);
    bytes.writeBytes(b);
    return true;
  }

  int size() {
    return bytes.size();
  }

  byte[] toByteArray() {
    return bytes.toByteArray();
  }

  /** Gives the memory back; the answer was passed on or given up. */
  void release() {
    memory.give(taken);
    taken = 0;
  }
}

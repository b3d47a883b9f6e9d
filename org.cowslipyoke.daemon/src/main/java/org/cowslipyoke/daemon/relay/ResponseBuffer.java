package org.cowslipyoke.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Collects one response within the memory limits of {@link ResponseMemoryBudget}. Not thread-safe.
 */
final class ResponseBuffer {

  /** Maximum size of a buffered response in bytes. */
  static final int MAX_BYTES = 4 << 20;

  private final ResponseMemoryBudget memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private long taken;

  ResponseBuffer(ResponseMemoryBudget memory) {
    this.memory = memory;
  }

  /** Appends bytes; returns false if the response is too large or the memory is used up. */
  boolean add(ByteBuffer more) {
    int size = bytes.size() + more.remaining();
    long missing = size - ResponseMemoryBudget.RESERVED_BYTES - taken;
    if (size > MAX_BYTES || (missing > 0 && !memory.tryAcquire((int) missing))) {
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

  /** Releases the memory after the response was passed on or discarded. */
  void release() {
    memory.release(taken);
    taken = 0;
  }
}

package org.cowslipyoke.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Collects one response within the memory limits of {@link ResponseMemoryBudget}. Not thread-safe.
 */
public final class ResponseBuffer {

  private final int maxBytes;
  private final ResponseMemoryBudget memory;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private long taken;

  /**
   * Creates an empty buffer.
   *
   * @param maxBytes maximum size of the response
   */
  public ResponseBuffer(ResponseMemoryBudget memory, int maxBytes) {
    this.memory = memory;
    this.maxBytes = maxBytes;
  }

  /** Appends bytes; returns false if the response is too large or the memory is used up. */
  public boolean add(ByteBuffer more) {
    int size = bytes.size() + more.remaining();
    long missing = size - ResponseMemoryBudget.RESERVED_BYTES - taken;
    if (size > maxBytes || (missing > 0 && !memory.tryAcquire((int) missing))) {
      return false;
    }
    taken += Math.max(0, missing);
    byte[] b = new byte[more.remaining()];
    more.get(b);
    bytes.writeBytes(b);
    return true;
  }

  /** Returns the number of bytes so far. */
  public int size() {
    return bytes.size();
  }

  /** Returns a copy of the bytes so far. */
  public byte[] toByteArray() {
    return bytes.toByteArray();
  }

  /** Releases the memory after the response was passed on or discarded. */
  public void release() {
    memory.release(taken);
    taken = 0;
  }
}

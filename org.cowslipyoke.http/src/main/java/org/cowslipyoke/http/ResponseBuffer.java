package org.cowslipyoke.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects one response within the memory limits of {@link ResponseMemoryBudget}. Not thread-safe.
 */
public final class ResponseBuffer {

  private static final int BLOCK_BYTES = 16 << 10;

  private final int maxBytes;
  private final ResponseMemoryBudget memory;

  /** The bytes in blocks, so that a growing response is never copied beside its budget. */
  private final List<byte[]> blocks = new ArrayList<>();

  private int size;

  /** Free bytes at the end of the last block. */
  private int free;

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
    int all = size + more.remaining();
    long missing = all - ResponseMemoryBudget.RESERVED_BYTES - taken;
    if (all > maxBytes || (missing > 0 && !memory.tryAcquire((int) missing))) {
      return false;
    }
    taken += Math.max(0, missing);
    while (more.hasRemaining()) {
      if (free == 0) {
        free = size == 0 ? Math.min(BLOCK_BYTES, more.remaining()) : BLOCK_BYTES;
        blocks.add(new byte[free]);
      }
      byte[] last = blocks.get(blocks.size() - 1);
      int n = Math.min(free, more.remaining());
      more.get(last, last.length - free, n);
      free -= n;
      size += n;
    }
    return true;
  }

  /** Returns the number of bytes so far. */
  public int size() {
    return size;
  }

  /** Returns a copy of the bytes so far. */
  public byte[] toByteArray() {
    byte[] all = new byte[size];
    int at = 0;
    for (byte[] b : blocks) {
      int n = Math.min(b.length, size - at);
      System.arraycopy(b, 0, all, at, n);
      at += n;
    }
    return all;
  }

  /** Releases the memory after the response was passed on or discarded. */
  public void release() {
    memory.release(taken);
    taken = 0;
  }
}

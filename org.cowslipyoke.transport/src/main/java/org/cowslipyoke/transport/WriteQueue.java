package org.cowslipyoke.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Frames that wait to be written to one connection. Frames of streams are added by any thread;
 * urgent frames of the connection itself go first and are added by the I/O thread only.
 */
final class WriteQueue {

  /** Bytes that may wait on one connection; bounds the memory behind a peer that does not read. */
  private static final long MAX_BYTES = 16L * 1024 * 1024;

  private static final int BATCH = 32;

  private record Entry(@Nullable FrameStream stream, byte[] frame, boolean control) {}

  private final SocketChannel channel;
  private final TransportStats stats;
  private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();
  private final AtomicLong bytes = new AtomicLong();
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final Queue<byte[]> urgent = new ArrayDeque<>();
  private final ArrayDeque<ByteBuffer> batch = new ArrayDeque<>();
  private long writtenMs;

  WriteQueue(SocketChannel channel, TransportStats stats) {
    this.channel = channel;
    this.stats = stats;
  }

  /** Adds a frame of a stream; false if the queue is full. */
  boolean add(FrameStream stream, byte[] frame, boolean control) {
    if (bytes.addAndGet(frame.length) > MAX_BYTES) {
      bytes.addAndGet(-frame.length);
      return false;
    }
    entries.add(new Entry(stream, frame, control));
    return true;
  }

  /** Adds the close of a stream behind its frames. */
  void addLast(byte[] frame) {
    bytes.addAndGet(frame.length);
    entries.add(new Entry(null, frame, true));
  }

  void addUrgent(byte[] frame) {
    urgent.add(frame);
  }

  boolean hasUrgent() {
    return !urgent.isEmpty();
  }

  boolean isEmpty() {
    return entries.isEmpty() && urgent.isEmpty() && batch.isEmpty();
  }

  /** Returns whether the caller is to schedule a write. */
  boolean schedule() {
    return scheduled.compareAndSet(false, true);
  }

  void unschedule() {
    scheduled.set(false);
  }

  /** Returns when bytes were last written. */
  long writtenMs() {
    return writtenMs;
  }

  void clear() {
    entries.clear();
    urgent.clear();
    batch.clear();
  }

  /**
   * Writes until the queue is empty or the socket takes no more.
   *
   * @param withStreams whether frames of streams may be handed to the network
   * @return false if the socket takes no more
   */
  boolean write(boolean withStreams, long nowMs) throws IOException {
    fill(withStreams);
    while (!batch.isEmpty()) {
      long count = channel.write(batch.toArray(new ByteBuffer[0]));
      if (count > 0) {
        writtenMs = nowMs;
      }
      while (!batch.isEmpty() && !batch.peek().hasRemaining()) {
        batch.remove();
      }
      if (!batch.isEmpty()) {
        return false;
      }
      fill(withStreams);
    }
    return true;
  }

  private void fill(boolean withStreams) {
    for (byte[] f = urgent.poll(); f != null; f = urgent.poll()) {
      stats.sent(true, f.length);
      batch.add(ByteBuffer.wrap(f));
    }
    while (withStreams && batch.size() < BATCH) {
      Entry entry = entries.poll();
      if (entry == null) {
        return;
      }
      bytes.addAndGet(-entry.frame().length);
      if (entry.stream() == null || entry.stream().beforeWrite()) {
        stats.sent(entry.control(), entry.frame().length);
        batch.add(ByteBuffer.wrap(entry.frame()));
      }
    }
  }
}

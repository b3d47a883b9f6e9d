package org.cowslipyoke.daemon.relay;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.CallerMemory;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Reads the body of one request into memory of the budget, or discards it. A stated length is
 * acquired before the first byte is read, an unstated one as it grows.
 */
final class RequestBody {

  /** Receives the end of {@link #read}; exactly one method is called, once. */
  interface Listener {
    void complete(byte[] body);

    /** The body can't be read; the request has not run. */
    void refused(Failure f);

    /** The caller has broken off. */
    void failed(Throwable cause);
  }

  /** Retry delay suggested to callers when the memory is used up, in milliseconds. */
  static final long RETRY_MS = 1_000;

  /**
   * Maximum bytes of a refused request's body that are read, so that its caller sees the answer.
   */
  private static final long MAX_DISCARD_BYTES = 4 << 20;

  /** Time for which the body of a refused request is read, in milliseconds. */
  private static final long MAX_DISCARD_MS = 2_000;

  /** Initial capacity for a body of unstated length, in bytes. */
  private static final int INITIAL_BYTES = 8 << 10;

  private static final byte[] EMPTY = {};

  private final Request request;
  private final CallerMemory.Holding memory;
  private final ScheduledExecutorService timers;
  private byte[] bytes = EMPTY;
  private int size;
  private int max;
  private long discarded;
  private boolean active;
  private boolean ended;
  private @Nullable Listener listener;
  private @Nullable Callback onDiscarded;
  private @Nullable Future<?> timer;

  RequestBody(Request request, CallerMemory.Holding memory, ScheduledExecutorService timers) {
    this.request = request;
    this.memory = memory;
    this.timers = timers;
  }

  /**
   * Reads the body.
   *
   * @param max maximum size in bytes
   */
  void read(int max, Listener l) {
    long stated = request.getLength();
    if (stated > max) {
      l.refused(tooLarge());
      return;
    }
    if (stated > 0 && !memory.tryAcquire(stated)) {
      l.refused(noMemory());
      return;
    }
    synchronized (this) {
      this.max = max;
      listener = l;
      bytes = stated > 0 ? new byte[(int) stated] : EMPTY;
      active = true;
    }
    readAvailable();
  }

  /** Refuses the request if its body has not been read within a time, in milliseconds. */
  void limitTime(long ms) {
    Listener l;
    synchronized (this) {
      l = listener;
    }
    if (l == null) {
      return;
    }
    try {
      Future<?> t = timers.schedule(() -> refuse(late()), ms, TimeUnit.MILLISECONDS);
      boolean over;
      synchronized (this) {
        over = listener == null;
        timer = over ? null : t;
      }
      if (over) {
        t.cancel(false);
      }
    } catch (RejectedExecutionException e) {
      // The process stops, which closes the connection.
    }
  }

  /** Ends the read without the body. */
  void refuse(Failure f) {
    Listener l;
    synchronized (this) {
      l = take();
      bytes = l == null ? bytes : EMPTY;
    }
    if (l != null) {
      l.refused(f);
    }
  }

  /** Releases the memory of a body that was read and is not used any more. */
  synchronized void releaseMemory() {
    memory.release(size);
    size = 0;
  }

  /**
   * Discards the rest of the body, up to {@link #MAX_DISCARD_BYTES} and {@link #MAX_DISCARD_MS}.
   *
   * @param done succeeds at the end of the body, and fails if the connection has to be closed
   */
  void discard(Callback done) {
    boolean over;
    boolean begin;
    synchronized (this) {
      bytes = EMPTY;
      over = ended;
      begin = !ended && !active;
      active |= begin;
      onDiscarded = ended ? null : done;
    }
    if (over) {
      done.succeeded();
      return;
    }
    if (begin) {
      readAvailable();
    }
    if (isDiscarding()) {
      scheduleLimit();
    }
  }

  /** Returns whether the body was read to its end. */
  synchronized boolean isEnded() {
    return ended;
  }

  private synchronized boolean isDiscarding() {
    return onDiscarded != null;
  }

  private void scheduleLimit() {
    try {
      var unused =
          timers.schedule(
              () -> endDiscard(new IllegalStateException("the rest of the body is late")),
              MAX_DISCARD_MS,
              TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The process stops, which closes the connection.
    }
  }

  private void endDiscard(@Nullable Throwable cause) {
    Callback c;
    synchronized (this) {
      c = onDiscarded;
      onDiscarded = null;
      ended = true;
    }
    if (c != null && cause == null) {
      c.succeeded();
    } else if (c != null) {
      c.failed(cause);
    }
  }

  private synchronized @Nullable Listener take() {
    Listener l = listener;
    listener = null;
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
    return l;
  }

  private void readAvailable() {
    while (true) {
      Content.Chunk c;
      synchronized (this) {
        if (ended) {
          return;
        }
        c = request.read();
        if (c == null) {
          request.demand(this::readAvailable);
          return;
        }
      }
      if (Content.Chunk.isFailure(c)) {
        fail(c.getFailure());
        return;
      }
      boolean last = c.isLast();
      Failure f = accept(c.getByteBuffer());
      c.release();
      if (f != null) {
        refuse(f);
      } else if (last) {
        end();
        return;
      } else if (discarded > MAX_DISCARD_BYTES) {
        endDiscard(new IllegalStateException("the rest of the body is too large"));
      }
    }
  }

  /**
   * Takes or discards a part of the body. Memory is acquired without the lock, because that may
   * refuse the body of another request, whose reader may do the same at this moment.
   */
  private @Nullable Failure accept(ByteBuffer part) {
    int n = part.remaining();
    memory.transferred(n);
    int capacity = 0;
    synchronized (this) {
      if (listener == null) {
        discarded += n;
        return null;
      }
      if (n > max - size) {
        return tooLarge();
      }
      if (n > bytes.length - size) {
        int enough = Math.max(size + n, Math.max(INITIAL_BYTES, 2 * bytes.length));
        capacity = Math.min(max, enough);
      }
    }
    if (capacity > 0 && !memory.tryAcquire(capacity)) {
      return noMemory();
    }
    append(part, capacity);
    return null;
  }

  private synchronized void append(ByteBuffer part, int capacity) {
    if (listener == null) {
      memory.release(capacity);
      return;
    }
    if (capacity > 0) {
      int before = bytes.length;
      bytes = Arrays.copyOf(bytes, capacity);
      memory.release(before);
    }
    int n = part.remaining();
    part.get(bytes, size, n);
    size += n;
  }

  private void end() {
    byte[] body;
    Listener l;
    synchronized (this) {
      ended = true;
      active = false;
      l = take();
      body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
      memory.release(bytes.length - size);
      bytes = EMPTY;
    }
    if (l != null) {
      l.complete(body);
    } else {
      endDiscard(null);
    }
  }

  private void fail(Throwable cause) {
    Listener l;
    synchronized (this) {
      ended = true;
      active = false;
      bytes = EMPTY;
      l = take();
    }
    if (l != null) {
      l.failed(cause);
    } else {
      endDiscard(cause);
    }
  }

  private static Failure tooLarge() {
    return Failure.of(ErrorKind.TOO_LARGE, "the body is too large");
  }

  static Failure noMemory() {
    return new Failure(ErrorKind.OVERLOADED, "the memory for requests is used up", RETRY_MS);
  }

  static Failure late() {
    return new Failure(ErrorKind.REQUEST_TIMEOUT, "the body comes too slowly", RETRY_MS);
  }
}

package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cowslipyoke.daemon.relay.CallerBudget;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.CallerMemory;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads a request body asynchronously, with limits on its size, its memory and the time to receive
 * it. The memory of a stated length is acquired before the first byte is read.
 */
final class BodyReader {

  /** Time in which a body has to arrive, in milliseconds. */
  static final long TIMEOUT_MS = 10_000;

  /** Retry delay suggested to callers when the memory is used up, in milliseconds. */
  private static final long RETRY_MS = 1_000;

  /** Initial capacity for a body of unstated length, in bytes. */
  private static final int INITIAL_BYTES = 8 << 10;

  private static final byte[] EMPTY = {};

  private final Request request;
  private final CallerMemory.Holding memory;
  private final int maxBytes;
  private final Consumer<Either<Failure, byte[]>> result;
  private final ScheduledFuture<?> timeout;
  private final AtomicBoolean done = new AtomicBoolean();
  private byte[] bytes = EMPTY;
  private int size;

  private BodyReader(
      Request request,
      int maxBytes,
      ScheduledExecutorService scheduler,
      long timeoutMs,
      Consumer<Either<Failure, byte[]>> result) {
    this.request = request;
    this.memory = CallerBudget.holding(request);
    this.maxBytes = maxBytes;
    this.result = result;
    this.timeout =
        scheduler.schedule(
            () ->
                fail(
                    ErrorKind.INVALID_REQUEST,
                    "the request body did not arrive within the time limit"),
            timeoutMs,
            TimeUnit.MILLISECONDS);
  }

  /** Reads the body and passes it, or the failure, to {@code result} exactly once. */
  static void read(
      Request request,
      int maxBytes,
      ScheduledExecutorService scheduler,
      long timeoutMs,
      Consumer<Either<Failure, byte[]>> result) {
    BodyReader r = new BodyReader(request, maxBytes, scheduler, timeoutMs, result);
    if (request.getLength() > maxBytes) {
      r.tooLarge();
    } else if (!r.grow((int) Math.max(0, request.getLength()))) {
      r.noMemory();
    } else {
      r.memory.watchRequest(reason -> r.noMemory());
      r.readAvailable();
    }
  }

  private void readAvailable() {
    while (!done.get()) {
      Content.Chunk c = request.read();
      if (c == null) {
        request.demand(this::readAvailable);
        return;
      }
      if (Content.Chunk.isFailure(c)) {
        fail(ErrorKind.INVALID_REQUEST, "the request body is incomplete");
        return;
      }
      boolean last = c.isLast();
      accept(c.getByteBuffer());
      c.release();
      if (last) {
        finish(Either.right(body()));
      }
    }
  }

  /** Adds a part of the body; memory is acquired without the lock, as that may refuse others. */
  private void accept(ByteBuffer part) {
    int n = part.remaining();
    memory.transferred(n);
    int needed = size + n;
    if (needed > maxBytes) {
      tooLarge();
      return;
    }
    int capacity = Math.max(INITIAL_BYTES, 2 * bytes.length);
    if (needed > bytes.length && !grow(Math.min(maxBytes, Math.max(needed, capacity)))) {
      noMemory();
      return;
    }
    synchronized (this) {
      if (!done.get()) {
        part.get(bytes, size, n);
        size = needed;
      }
    }
  }

  private boolean grow(int capacity) {
    if (!memory.tryAcquire(capacity)) {
      return false;
    }
    synchronized (this) {
      memory.release(bytes.length);
      bytes = done.get() ? EMPTY : Arrays.copyOf(bytes, capacity);
    }
    return true;
  }

  private synchronized byte[] body() {
    return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
  }

  private void noMemory() {
    String m = "the memory for requests is used up";
    finish(Either.left(new Failure(ErrorKind.OVERLOADED, m, RETRY_MS)));
  }

  private void tooLarge() {
    fail(ErrorKind.TOO_LARGE, "the request body exceeds the limit of " + maxBytes + " bytes");
  }

  private void fail(ErrorKind kind, String message) {
    finish(Either.left(Failure.of(kind, message)));
  }

  private void finish(Either<Failure, byte[]> r) {
    if (done.compareAndSet(false, true)) {
      timeout.cancel(false);
      memory.unwatch();
      synchronized (this) {
        bytes = EMPTY;
      }
      result.accept(r);
    }
  }
}

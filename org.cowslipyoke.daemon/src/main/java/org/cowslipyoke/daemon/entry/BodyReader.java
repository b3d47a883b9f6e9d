package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request body asynchronously, with limits on its size and on the time to receive it. */
final class BodyReader {

  /** Time in which a body has to arrive, in milliseconds. */
  static final long TIMEOUT_MS = 10_000;

  private final Request request;
  private final int maxBytes;
  private final Consumer<Either<Failure, byte[]>> result;
  private final ScheduledFuture<?> timeout;
  private final AtomicBoolean done = new AtomicBoolean();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  private BodyReader(
      Request request,
      int maxBytes,
      ScheduledExecutorService scheduler,
      long timeoutMs,
      Consumer<Either<Failure, byte[]>> result) {
    this.request = request;
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
    } else {
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
      boolean fits = body.size() + c.remaining() <= maxBytes;
      if (fits) {
        byte[] b = new byte[c.remaining()];
        c.getByteBuffer().get(b);
        body.writeBytes(b);
      }
      c.release();
      if (!fits) {
        tooLarge();
      } else if (last) {
        finish(Either.right(body.toByteArray()));
      }
    }
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
      result.accept(r);
    }
  }
}

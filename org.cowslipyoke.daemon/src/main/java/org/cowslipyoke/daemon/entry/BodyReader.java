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

/** Reads a request body without holding a thread, bounded in size and time. */
final class BodyReader {

  /** Milliseconds in which a body has to arrive. */
  static final long MAX_MS = 10_000;

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
      long maxMs,
      Consumer<Either<Failure, byte[]>> result) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.result = result;
    this.timeout =
        scheduler.schedule(
            () -> fail(ErrorKind.INVALID_REQUEST, "the body did not arrive in time"),
            maxMs,
            TimeUnit.MILLISECONDS);
  }

  /** Reads the body and passes it, or the reason why not, to {@code result} exactly once. */
  static void read(
      Request request,
      int maxBytes,
      ScheduledExecutorService scheduler,
      long maxMs,
      Consumer<Either<Failure, byte[]>> result) {
    BodyReader r = new BodyReader(request, maxBytes, scheduler, maxMs, result);
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
        fail(ErrorKind.INVALID_REQUEST, "the body is incomplete");
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
    fail(ErrorKind.TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
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

package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.admission.ServerAvailability;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.ServiceCall;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.platform.PlainService;
import org.cowslipyoke.platform.PlainService.Call;
import org.cowslipyoke.platform.PlainService.Reply;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Digests;

/**
 * Executes the calls of entries at the plain service. An idempotent call is retried once if its
 * response was lost; other calls are never retried.
 */
final class ServiceCallHandler {

  private static final Logger LOG = LogManager.getLogger(ServiceCallHandler.class);

  /** Remaining time below which a call is not retried, in milliseconds. */
  private static final long MIN_RETRY_MS = 50;

  private final Clock clock;
  private final PlainService service;
  private final ServerAvailability standing;
  private final ServerMetrics metrics;
  private final Executor pool;
  private final AtomicInteger running = new AtomicInteger();

  ServiceCallHandler(
      Clock clock,
      PlainService service,
      ServerAvailability standing,
      ServerMetrics metrics,
      Executor pool) {
    this.clock = clock;
    this.service = service;
    this.standing = standing;
    this.metrics = metrics;
    this.pool = pool;
  }

  /** Returns the number of calls in progress. */
  int running() {
    return running.get();
  }

  /** Executes a call asynchronously and sends the result to the stream. */
  void call(ServiceCall call, MessageStream stream) {
    Optional<Failure> refusal = standing.refusal();
    if (refusal.isPresent()) {
      send(stream, refused(refusal.get()));
      return;
    }
    running.incrementAndGet();
    try {
      pool.execute(
          () -> LogContext.run(call.requestId(), call.organisation(), () -> run(call, stream)));
    } catch (RejectedExecutionException e) {
      running.decrementAndGet();
      send(
          stream,
          refused(
              new Failure(ErrorKind.OVERLOADED, "all threads for service calls are busy", 1_000)));
    }
  }

  private void run(ServiceCall call, MessageStream stream) {
    try {
      send(stream, execute(call));
    } catch (RuntimeException e) {
      LOG.error("service call failed", e);
      send(stream, unknown(call, "internal error"));
    } finally {
      running.decrementAndGet();
    }
  }

  private Message execute(ServiceCall call) {
    long endMs = clock.nowMs() + call.deadlineMs();
    Either<Failure, Reply> result = callOnce(call, call.deadlineMs());
    if (result.isLeft() && result.getLeft().outcome() == Outcome.NOT_RUN) {
      return refused(result.getLeft());
    }
    long remainingMs = endMs - clock.nowMs();
    if (result.isLeft() && call.idempotent() && remainingMs >= MIN_RETRY_MS) {
      LOG.info("retrying an idempotent service call whose response was lost");
      result = callOnce(call, remainingMs);
    }
    if (result.isLeft()) {
      LOG.warn("outcome of a service call is unknown, kind={}", result.getLeft().kind());
      return unknown(call, "the service did not respond");
    }
    Reply r = result.get();
    return new ServiceReply(
        call.requestId(), r.status(), r.headers(), r.body(), Digests.crc32c(r.body()));
  }

  private Either<Failure, Reply> callOnce(ServiceCall c, long deadlineMs) {
    return service.call(
        new Call(c.requestId(), c.method(), c.path(), c.headers(), c.body()), deadlineMs);
  }

  private Refused refused(Failure f) {
    metrics.countRefusal(f.kind());
    return new Refused(f.kind(), f.message(), f.retryAfterMs());
  }

  private static Failed unknown(ServiceCall call, String message) {
    return new Failed(call.requestId(), ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, message);
  }

  private static void send(MessageStream stream, Message message) {
    if (!stream.send(message)) {
      LOG.debug("the stream of a service call is closed");
    }
  }
}

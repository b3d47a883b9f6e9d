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
 * Calls the plain service. A call is sent once; only an idempotent one is repeated, once, after its
 * answer was lost.
 */
final class ServiceRunner {

  private static final Logger LOG = LogManager.getLogger(ServiceRunner.class);

  /** Shortest time left for which a repeat is tried, in milliseconds. */
  private static final long MIN_REPEAT_MS = 50;

  private final Clock clock;
  private final PlainService service;
  private final ServerAvailability standing;
  private final ServerMetrics metrics;
  private final Executor pool;
  private final AtomicInteger running = new AtomicInteger();

  ServiceRunner(
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

  /** Returns the number of calls that are executing. */
  int running() {
    return running.get();
  }

  /** Admits a call and answers on the stream when it is done. */
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
      send(stream, refused(new Failure(ErrorKind.OVERLOADED, "too many calls", 1_000)));
    }
  }

  private void run(ServiceCall call, MessageStream stream) {
    try {
      send(stream, execute(call));
    } catch (RuntimeException e) {
      LOG.error("call failed", e);
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
    long left = endMs - clock.nowMs();
    if (result.isLeft() && call.idempotent() && left >= MIN_REPEAT_MS) {
      LOG.info("repeating an idempotent call whose answer was lost");
      result = callOnce(call, left);
    }
    if (result.isLeft()) {
      LOG.warn("outcome of a call is not known: {}", result.getLeft().kind());
      return unknown(call, "no answer of the service");
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
    metrics.refused(f.kind());
    return new Refused(f.kind(), f.message(), f.retryAfterMs());
  }

  private static Failed unknown(ServiceCall call, String message) {
    return new Failed(call.requestId(), ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, message);
  }

  private static void send(MessageStream stream, Message message) {
    if (!stream.send(message)) {
      LOG.debug("the stream of a call is closed");
    }
  }
}

package org.cowslipyoke.daemon.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Cancel;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Probe;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Release;
import org.cowslipyoke.message.Message.Resume;
import org.cowslipyoke.message.Message.ServiceCall;
import org.cowslipyoke.message.Message.Start;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;
import org.jspecify.annotations.Nullable;

/**
 * A stream opened by an entry. Its messages are handled on the workers, one at a time and in order.
 */
final class ServerStream implements StreamHandler {

  private static final Logger LOG = LogManager.getLogger(ServerStream.class);

  /** Maximum number of queued messages per stream; an entry sends only a few. */
  private static final int MAX_WAITING = 64;

  private final Executor workers;
  private final @Nullable ModelRequestHandler modelHandler;
  private final @Nullable ServiceCallHandler service;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean busy;
  private @Nullable Run run;

  ServerStream(
      Executor workers,
      @Nullable ModelRequestHandler modelHandler,
      @Nullable ServiceCallHandler service) {
    this.workers = workers;
    this.modelHandler = modelHandler;
    this.service = service;
  }

  @Override
  public void onMessage(MessageStream stream, Message message) {
    if (!enqueue(() -> handle(stream, message))) {
      // The message was not handled, so a probe, start or service call can be refused as not run.
      boolean refusable =
          message instanceof Probe || message instanceof Start || message instanceof ServiceCall;
      if (!refusable
          || !stream.send(new Refused(ErrorKind.OVERLOADED, "all workers are busy", 1_000))) {
        stream.close();
      }
    }
  }

  @Override
  public void onClosed(MessageStream stream, Failure failure) {
    if (!enqueue(() -> detach(stream))) {
      detach(stream);
    }
  }

  private boolean enqueue(Runnable task) {
    synchronized (waiting) {
      if (waiting.size() >= MAX_WAITING) {
        return false;
      }
      waiting.addLast(task);
      if (busy) {
        return true;
      }
      busy = true;
    }
    try {
      workers.execute(this::runQueued);
      return true;
    } catch (RejectedExecutionException e) {
      synchronized (waiting) {
        busy = false;
        waiting.clear();
      }
      return false;
    }
  }

  private void runQueued() {
    while (true) {
      Runnable next;
      synchronized (waiting) {
        next = waiting.pollFirst();
        if (next == null) {
          busy = false;
          return;
        }
      }
      try {
        next.run();
      } catch (RuntimeException e) {
        LOG.error("handling a message failed", e);
      }
    }
  }

  private void handle(MessageStream stream, Message message) {
    if (message instanceof ServiceCall c && service != null) {
      service.call(c, stream);
    } else if (modelHandler != null) {
      handle(modelHandler, stream, message);
    } else if (message instanceof Probe || message instanceof ServiceCall) {
      send(stream, new Refused(ErrorKind.NO_SERVER, "another kind of backend runs here", 0));
    }
  }

  private void handle(ModelRequestHandler handler, MessageStream stream, Message message) {
    if (message instanceof Probe p) {
      LogContext.run(p.requestId(), p.organisation(), () -> send(stream, handler.probe(p)));
    } else if (message instanceof Start s) {
      LogContext.run(s.requestId(), s.organisation(), () -> setRun(handler.start(s, stream)));
    } else if (message instanceof Resume r) {
      LogContext.run(r.requestId(), r.organisation(), () -> setRun(handler.resume(r, stream)));
    } else if (message instanceof Release r) {
      handler.release(r.reservationId());
    } else if (message instanceof Cancel c) {
      cancel(handler, stream, c);
    } else if (message instanceof ServiceCall) {
      send(stream, new Refused(ErrorKind.NO_SERVER, "another kind of backend runs here", 0));
    } else {
      LOG.debug("unexpected message {}", message.getClass().getSimpleName());
    }
  }

  /**
   * Cancels the run of this stream. Request ids are unique only within an organisation and a cancel
   * message does not name one, so it applies to no other run.
   */
  private void cancel(ModelRequestHandler handler, MessageStream stream, Cancel c) {
    Run current = run;
    if (current != null && current.start().requestId().equals(c.requestId())) {
      handler.cancel(current);
    } else {
      send(
          stream,
          new Failed(
              c.requestId(),
              ErrorKind.CANCELLED,
              Outcome.UNKNOWN,
              "no run is attached to this stream"));
    }
  }

  private void setRun(Optional<Run> attached) {
    attached.ifPresent(r -> run = r);
  }

  private void detach(MessageStream stream) {
    Run current = run;
    if (current != null) {
      current.detach(stream);
    }
  }

  private static void send(MessageStream stream, Message message) {
    if (!stream.send(message)) {
      LOG.debug("the stream is closed");
    }
  }
}

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

/** One stream of an entry. Its messages are handled on the workers, in order, one at a time. */
final class ServerStream implements StreamHandler {

  private static final Logger LOG = LogManager.getLogger(ServerStream.class);

  /** Messages that may wait on one stream; an entry sends a handful. */
  private static final int MAX_WAITING = 64;

  private final Executor workers;
  private final @Nullable ModelServer model;
  private final @Nullable ServiceRunner service;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean busy;
  private @Nullable Run run;

  ServerStream(Executor workers, @Nullable ModelServer model, @Nullable ServiceRunner service) {
    this.workers = workers;
    this.model = model;
    this.service = service;
  }

  @Override
  public void onMessage(MessageStream stream, Message message) {
    if (!enqueue(() -> handle(stream, message))) {
      // Nothing was done for the message yet, so the refusal is true for a probe, start or call.
      boolean refusable =
          message instanceof Probe || message instanceof Start || message instanceof ServiceCall;
      if (!refusable
          || !stream.send(new Refused(ErrorKind.OVERLOADED, "no worker is free", 1_000))) {
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
      workers.execute(this::drain);
      return true;
    } catch (RejectedExecutionException e) {
      synchronized (waiting) {
        busy = false;
        waiting.clear();
      }
      return false;
    }
  }

  private void drain() {
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
    } else if (model != null) {
      handle(model, stream, message);
    } else if (message instanceof Probe || message instanceof ServiceCall) {
      send(stream, new Refused(ErrorKind.NO_SERVER, "another kind of backend runs here", 0));
    }
  }

  private void handle(ModelServer server, MessageStream stream, Message message) {
    if (message instanceof Probe p) {
      LogContext.run(p.requestId(), p.organisation(), () -> send(stream, server.probe(p)));
    } else if (message instanceof Start s) {
      LogContext.run(s.requestId(), s.organisation(), () -> hold(server.start(s, stream)));
    } else if (message instanceof Resume r) {
      LogContext.run(r.requestId(), r.organisation(), () -> hold(server.resume(r, stream)));
    } else if (message instanceof Release r) {
      server.release(r.reservationId());
    } else if (message instanceof Cancel c) {
      cancel(server, stream, c);
    } else if (message instanceof ServiceCall) {
      send(stream, new Refused(ErrorKind.NO_SERVER, "another kind of backend runs here", 0));
    } else {
      LOG.debug("unexpected message {}", message.getClass().getSimpleName());
    }
  }

  /**
   * Request ids are unique within an organisation only, and a cancel names none. It therefore
   * applies to the run of its own stream and to no other.
   */
  private void cancel(ModelServer server, MessageStream stream, Cancel c) {
    Run held = run;
    if (held != null && held.start().requestId().equals(c.requestId())) {
      server.cancel(held);
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

  private void hold(Optional<Run> attached) {
    attached.ifPresent(r -> run = r);
  }

  private void detach(MessageStream stream) {
    Run held = run;
    if (held != null) {
      held.detach(stream);
    }
  }

  private static void send(MessageStream stream, Message message) {
    if (!stream.send(message)) {
      LOG.debug("the stream is closed");
    }
  }
}

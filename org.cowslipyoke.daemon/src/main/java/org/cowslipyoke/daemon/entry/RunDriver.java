package org.cowslipyoke.daemon.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.claim.Claim;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.claim.ClaimLedger.RecordStatus;
import org.cowslipyoke.claim.ClaimRequest;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.request.Action;
import org.cowslipyoke.request.EntryStateMachine;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;
import org.jspecify.annotations.Nullable;

/**
 * Drives the state machine of one request: feeds it events and carries out its actions. Decides
 * nothing itself. Holds no thread between events.
 */
final class RunDriver {

  private static final Logger LOG = LogManager.getLogger(RunDriver.class);

  private final EntryServices services;
  private final EntryStateMachine run;
  private final CallerReply reply;
  private final Caller caller;
  private final String target;
  private final Runnable onEnd;
  private final long arrivedMs;
  private final SerialEvents events = new SerialEvents();
  private final Map<Long, MessageStream> channels = new HashMap<>();
  private @Nullable Claim claim;
  private String kind = "ok";
  private boolean firstToken;
  private boolean ended;
  private int records;

  /**
   * Creates a driver.
   *
   * @param target model or service of the configuration
   * @param onEnd told once when the request and its records have ended
   */
  RunDriver(
      EntryServices services,
      EntryStateMachine run,
      CallerReply reply,
      Caller caller,
      String target,
      Runnable onEnd) {
    this.services = services;
    this.run = run;
    this.reply = reply;
    this.caller = caller;
    this.target = target;
    this.onEnd = onEnd;
    this.arrivedMs = now();
  }

  void start() {
    event(run::start);
  }

  void callerGone() {
    event(run::onCallerGone);
  }

  @SuppressWarnings("try") // The log context only has to be closed.
  private void event(Supplier<List<Action>> step) {
    events.post(
        () -> {
          try (var unused = logContext()) {
            step.get().forEach(this::carryOut);
            if (run.isDone()) {
              end();
            }
          } catch (RuntimeException e) {
            LOG.error("an event of a request failed", e);
            abort();
          }
        });
  }

  private void carryOut(Action action) {
    if (action instanceof Action.ToServer s) {
      send(s);
    } else if (action instanceof Action.Close c) {
      close(c.channel());
    } else if (action instanceof Action.Relay r) {
      relay(r);
    } else if (action instanceof Action.SetTimer t) {
      timer(t.atMs());
    } else if (action instanceof Action.Claim c) {
      claim(c);
    } else if (action instanceof Action.RecordCompletion r) {
      record(ChatReply.encode(r.completion()));
    } else if (action instanceof Action.RecordReply r) {
      record(ServiceReplyWriter.encode(r.reply()));
    } else if (action instanceof Action.RecordNotRun) {
      write(services.claims()::recordNotRun, () -> {});
    } else if (action instanceof Action.ReportCrash c) {
      services.suspects().recordCrash(c.digest());
      services.flushSuspects();
    } else if (action instanceof Action.ClearSuspect c) {
      services.suspects().recordClearance(c.digest());
      services.flushSuspects();
    } else {
      answer(action);
    }
  }

  /** The scheduler may fire up to a millisecond before the clock has reached the time. */
  private void timer(long atMs) {
    long left = atMs - now();
    if (left <= 0) {
      event(run::onTick);
    } else {
      services.later(() -> timer(atMs), left);
    }
  }

  private void answer(Action action) {
    if (action instanceof Action.ReportStarted b) {
      reply.begun(b.server(), b.reusedTokens());
    } else if (action instanceof Action.Finish f) {
      reply.finish(f.completion());
    } else if (action instanceof Action.SendReply r) {
      reply.reply(r.server(), r.reply());
    } else if (action instanceof Action.SendRecorded r) {
      reply.replay(r.recorded());
    } else if (action instanceof Action.Fail r) {
      kind = r.failure().kind().wireName();
      reply.refuse(r.failure());
    } else {
      throw new IllegalStateException("unknown action " + action.getClass().getSimpleName());
    }
  }

  private void send(Action.ToServer s) {
    if (s instanceof Action.Probe) {
      services.metrics().probed();
    } else if (s instanceof Action.Start) {
      services.metrics().started();
    } else if (s instanceof Action.Resume) {
      services.metrics().resumed();
    }
    MessageStream stream = channels.get(s.channel());
    if (stream == null) {
      String host = s.server().host();
      stream = services.context().streams().open(host, s.server().port(), handler(s.channel()));
      channels.put(s.channel(), stream);
    }
    boolean last = s instanceof Action.Release || s instanceof Action.Cancel;
    if (!stream.send(s.message()) && !last) {
      Failure unsent = Failure.of(ErrorKind.NO_SERVER, "the stream took no message");
      event(() -> run.onClosed(s.channel(), unsent));
    }
    if (last) {
      close(s.channel());
    }
  }

  private StreamHandler handler(long channel) {
    return new StreamHandler() {
      @Override
      public void onMessage(MessageStream stream, Message message) {
        event(() -> run.onMessage(channel, message));
      }

      @Override
      public void onClosed(MessageStream stream, Failure failure) {
        event(
            () -> {
              channels.remove(channel);
              return run.onClosed(channel, failure);
            });
      }
    };
  }

  private void close(long channel) {
    MessageStream stream = channels.remove(channel);
    if (stream != null) {
      stream.close();
    }
  }

  private void relay(Action.Relay r) {
    if (!firstToken) {
      firstToken = true;
      services.metrics().firstToken(target, now() - arrivedMs);
    }
    reply.relay(r.offset(), r.pieces());
  }

  private void claim(Action.Claim c) {
    ClaimRequest request = new ClaimRequest(c.organisation(), c.key(), c.digest(), c.termMs());
    var unused =
        services
            .batcher()
            .submit(request)
            .thenAccept(
                d ->
                    event(
                        () -> {
                          if (d instanceof ClaimDecision.Granted g) {
                            claim = g.claim();
                          }
                          return run.onClaim(d);
                        }));
  }

  private void record(byte[] answer) {
    write(c -> services.claims().record(c, answer), () -> event(run::onRecorded));
  }

  private void write(Function<Claim, RecordStatus> step, Runnable done) {
    Claim c = claim;
    if (c == null) {
      return;
    }
    records++;
    ClaimRecorder.run(
        services,
        () -> step.apply(c),
        () -> {
          done.run();
          events.post(
              () -> {
                records--;
                if (ended && records == 0) {
                  onEnd.run();
                }
              });
        });
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    channels.values().forEach(MessageStream::close);
    channels.clear();
    services.metrics().ended(target, kind);
    LOG.info("request ended, target={} kind={} ms={}", target, kind, now() - arrivedMs);
    if (records == 0) {
      onEnd.run();
    }
  }

  private void abort() {
    if (!ended) {
      kind = ErrorKind.INTERNAL.wireName();
      try {
        reply.refuse(Failure.of(ErrorKind.INTERNAL, "the entry failed"));
      } finally {
        end();
      }
    }
  }

  private CloseableThreadContext.Instance logContext() {
    return CloseableThreadContext.put("requestId", caller.requestId())
        .put("organisation", caller.organisation().name());
  }

  private long now() {
    return services.context().clock().nowMs();
  }
}

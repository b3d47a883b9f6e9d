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
 * Drives the state machine of one request: passes events to it and performs the actions that it
 * returns. All decisions are in the state machine. Uses no thread between events.
 */
final class RequestDriver {

  private static final Logger LOG = LogManager.getLogger(RequestDriver.class);

  private final EntryServices services;
  private final EntryStateMachine run;
  private final ResponseSink response;
  private final RequestMetadata metadata;
  private final String target;
  private final Runnable onEnd;
  private final long arrivedMs;
  private final SerialExecutor events = new SerialExecutor();
  private final Map<Long, MessageStream> streams = new HashMap<>();
  private @Nullable Claim claim;
  private String kind = "ok";
  private boolean firstTokenSeen;
  private volatile boolean callerGone;
  private boolean callerGoneHandled;
  private boolean ended;
  private int pendingClaimWrites;

  /**
   * Creates a driver.
   *
   * @param target model or service of the configuration
   * @param onEnd called once, when the request and its claim writes have ended
   */
  RequestDriver(
      EntryServices services,
      EntryStateMachine run,
      ResponseSink response,
      RequestMetadata metadata,
      String target,
      Runnable onEnd) {
    this.services = services;
    this.run = run;
    this.response = response;
    this.metadata = metadata;
    this.target = target;
    this.onEnd = onEnd;
    this.arrivedMs = now();
  }

  void start() {
    postEvent(run::start);
  }

  /** Handles the loss of the caller before the events that wait, such as those of its response. */
  void onCallerGone() {
    callerGone = true;
    postEvent(List::of);
  }

  @SuppressWarnings("try") // The log context is only closed.
  private void postEvent(Supplier<List<Action>> step) {
    events.execute(
        () -> {
          try (var unused = logContext()) {
            if (callerGone && !callerGoneHandled) {
              callerGoneHandled = true;
              run.onCallerGone().forEach(this::perform);
            }
            step.get().forEach(this::perform);
            if (run.isDone()) {
              end();
            }
          } catch (RuntimeException e) {
            LOG.error("handling an event of a request failed", e);
            abort();
          }
        });
  }

  private void perform(Action action) {
    if (action instanceof Action.ToServer s) {
      send(s);
    } else if (action instanceof Action.Close c) {
      close(c.channel());
    } else if (action instanceof Action.Relay r) {
      relay(r);
    } else if (action instanceof Action.SetTimer t) {
      scheduleTick(t.atMs());
    } else if (action instanceof Action.Claim c) {
      requestClaim(c);
    } else if (action instanceof Action.RecordCompletion r) {
      recordAnswer(ChatResponseWriter.encode(r.completion()));
    } else if (action instanceof Action.RecordReply r) {
      recordAnswer(ServiceResponseWriter.encode(r.reply()));
    } else if (action instanceof Action.RecordNotRun) {
      writeClaim(services.claims()::recordNotRun, () -> {});
    } else if (action instanceof Action.ReportCrash c) {
      services.suspects().recordCrash(c.digest());
      services.flushSuspects();
    } else if (action instanceof Action.ClearSuspect c) {
      services.suspects().recordClearance(c.digest());
      services.flushSuspects();
    } else {
      respond(action);
    }
  }

  /**
   * Schedules a tick. The scheduler may fire up to a millisecond early, so the time is checked
   * again.
   */
  private void scheduleTick(long atMs) {
    long left = atMs - now();
    if (left <= 0) {
      postEvent(run::onTick);
    } else {
      services.schedule(() -> scheduleTick(atMs), left);
    }
  }

  private void respond(Action action) {
    if (action instanceof Action.ReportStarted b) {
      response.started(b.server(), b.reusedTokens());
    } else if (action instanceof Action.Finish f) {
      response.finish(f.completion());
    } else if (action instanceof Action.SendReply r) {
      response.reply(r.server(), r.reply());
    } else if (action instanceof Action.SendRecorded r) {
      response.replay(r.recorded());
    } else if (action instanceof Action.Fail r) {
      kind = r.failure().kind().wireName();
      response.refuse(r.failure());
    } else {
      throw new IllegalStateException("unknown action " + action.getClass().getSimpleName());
    }
  }

  private void send(Action.ToServer s) {
    if (s instanceof Action.Probe) {
      services.metrics().countProbe();
    } else if (s instanceof Action.Start) {
      services.metrics().countStart();
    } else if (s instanceof Action.Resume) {
      services.metrics().countResume();
    }
    MessageStream stream = streams.get(s.channel());
    if (stream == null) {
      String host = s.server().host();
      stream = services.context().streams().open(host, s.server().port(), handler(s.channel()));
      streams.put(s.channel(), stream);
    }
    boolean last = s instanceof Action.Release || s instanceof Action.Cancel;
    if (!stream.send(s.message()) && !last) {
      Failure unsent = Failure.of(ErrorKind.NO_SERVER, "the stream rejected a message");
      postEvent(() -> run.onClosed(s.channel(), unsent));
    }
    if (last) {
      close(s.channel());
    }
  }

  private StreamHandler handler(long channel) {
    return new StreamHandler() {
      @Override
      public void onMessage(MessageStream stream, Message message) {
        postEvent(() -> run.onMessage(channel, message));
      }

      @Override
      public void onClosed(MessageStream stream, Failure failure) {
        postEvent(
            () -> {
              streams.remove(channel);
              return run.onClosed(channel, failure);
            });
      }
    };
  }

  private void close(long channel) {
    MessageStream stream = streams.remove(channel);
    if (stream != null) {
      stream.close();
    }
  }

  private void relay(Action.Relay r) {
    if (!firstTokenSeen) {
      firstTokenSeen = true;
      services.metrics().recordFirstToken(target, now() - arrivedMs);
    }
    response.relay(r.offset(), r.pieces());
  }

  private void requestClaim(Action.Claim c) {
    ClaimRequest request = new ClaimRequest(c.organisation(), c.key(), c.digest(), c.termMs());
    var unused =
        services
            .batcher()
            .submit(request)
            .thenAccept(
                d ->
                    postEvent(
                        () -> {
                          if (d instanceof ClaimDecision.Granted g) {
                            claim = g.claim();
                          }
                          return run.onClaim(d);
                        }));
  }

  private void recordAnswer(byte[] answer) {
    writeClaim(c -> services.claims().record(c, answer), () -> postEvent(run::onRecorded));
  }

  private void writeClaim(Function<Claim, RecordStatus> step, Runnable done) {
    Claim c = claim;
    if (c == null) {
      return;
    }
    pendingClaimWrites++;
    ClaimWriter.start(
        services,
        () -> step.apply(c),
        () -> {
          done.run();
          events.execute(
              () -> {
                pendingClaimWrites--;
                if (ended && pendingClaimWrites == 0) {
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
    streams.values().forEach(MessageStream::close);
    streams.clear();
    services.metrics().countRequest(target, kind);
    LOG.info("request ended, target={} kind={} ms={}", target, kind, now() - arrivedMs);
    if (pendingClaimWrites == 0) {
      onEnd.run();
    }
  }

  private void abort() {
    if (!ended) {
      kind = ErrorKind.INTERNAL.wireName();
      try {
        response.refuse(Failure.of(ErrorKind.INTERNAL, "internal error at the entry"));
      } finally {
        end();
      }
    }
  }

  private CloseableThreadContext.Instance logContext() {
    return CloseableThreadContext.put("requestId", metadata.requestId())
        .put("organisation", metadata.organisation().name());
  }

  private long now() {
    return services.context().clock().nowMs();
  }
}

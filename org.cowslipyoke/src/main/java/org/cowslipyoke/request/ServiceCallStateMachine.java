package org.cowslipyoke.request;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Digests;
import org.cowslipyoke.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * State machine of one call to a plain service at the entry; the sibling of {@link
 * RequestStateMachine}. A call that must not be repeated is sent once; only a call that was
 * certainly not sent goes to another server.
 */
public final class ServiceCallStateMachine implements EntryStateMachine {

  /** Servers tried by a call that may be repeated. */
  public static final int MAX_CALLS = 4;

  private enum Phase {
    NEW,
    CLAIMING,
    CALLING,
    RECORDING,
    DONE
  }

  private final ServiceSpec spec;
  private final RequestContext context;
  private final Outbox out = new Outbox();
  private final Set<String> tried = new HashSet<>();
  private Phase phase = Phase.NEW;
  private @Nullable Vm server;
  private @Nullable ServiceReply reply;
  private long channel = -1;
  private long recordByMs;
  private int calls;
  private boolean claimed;
  private boolean uncertain;

  /** Creates the state machine of a call. */
  public ServiceCallStateMachine(ServiceSpec spec, RequestContext context) {
    this.spec = spec;
    this.context = context;
  }

  /** Begins the call; called once. */
  @Override
  public List<Action> start() {
    context.retries().onRequest();
    if (now() >= spec.deadlineAtMs()) {
      fail(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed"));
    } else if (spec.idempotencyKey().isPresent()) {
      phase = Phase.CLAIMING;
      long term = spec.deadlineAtMs() - now();
      String key = spec.idempotencyKey().get();
      out.add(new Action.Claim(spec.organisation(), key, spec.digest(), term));
    } else {
      call();
    }
    return flush();
  }

  /** The ledger has decided about the claim. */
  @Override
  public List<Action> onClaim(ClaimDecision decision) {
    if (decision instanceof ClaimDecision.Granted) {
      if (phase == Phase.CLAIMING) {
        claimed = true;
        call();
      } else if (phase == Phase.DONE && !claimed) {
        out.add(new Action.RecordNotRun());
      }
    } else if (phase == Phase.CLAIMING && decision instanceof ClaimDecision.Recorded r) {
      phase = Phase.DONE;
      out.add(new Action.SendRecorded(r.answer()));
    } else if (phase == Phase.CLAIMING && decision instanceof ClaimDecision.Rejected r) {
      fail(r.failure());
    }
    return flush();
  }

  /** A server has sent a message on a channel. Late and crossed messages are dropped. */
  @Override
  public List<Action> onMessage(long onChannel, Message message) {
    if (phase != Phase.CALLING || onChannel != channel) {
      return flush();
    }
    if (message instanceof ServiceReply r && r.requestId().equals(spec.requestId())) {
      closeChannel();
      onReply(r);
    } else if (message instanceof Refused r) {
      closeChannel();
      notRun(CallerFailures.of(r), false);
    } else if (message instanceof Failed f && f.requestId().equals(spec.requestId())) {
      closeChannel();
      onFailed(f);
    }
    return flush();
  }

  /**
   * The stream of a channel has ended.
   *
   * @param failure kind {@code NO_SERVER} if the call was certainly not sent
   */
  @Override
  public List<Action> onClosed(long onChannel, Failure failure) {
    if (phase == Phase.CALLING && onChannel == channel) {
      channel = -1;
      if (failure.kind() == ErrorKind.NO_SERVER) {
        notRun(Failure.of(ErrorKind.NO_SERVER, "the server was not reachable"), true);
      } else {
        lost("the server was lost");
      }
    }
    return flush();
  }

  /** The clock has reached the time of the timer, or any other time. */
  @Override
  public List<Action> onTick() {
    out.timerFired(now());
    if (phase == Phase.RECORDING && now() >= recordByMs) {
      finish();
    } else if (phase == Phase.CALLING && now() >= spec.deadlineAtMs()) {
      uncertain = true;
      cancel();
      fail(unknown("the deadline has passed"));
    } else if (phase == Phase.CLAIMING && now() >= spec.deadlineAtMs()) {
      fail(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed"));
    }
    return flush();
  }

  /**
   * The caller's connection is gone. A call that must not be repeated runs on, so that its answer
   * is recorded and its execution is not cut off half way.
   */
  @Override
  public List<Action> onCallerGone() {
    boolean runsOn = phase == Phase.CALLING && !spec.idempotent();
    if (phase != Phase.DONE && phase != Phase.RECORDING && !runsOn) {
      uncertain |= phase == Phase.CALLING;
      cancel();
      fail(Failure.of(ErrorKind.CANCELLED, "the caller has gone"));
    }
    return flush();
  }

  /** The answer of a claimed call is recorded, or the ledger goes on trying by itself. */
  @Override
  public List<Action> onRecorded() {
    if (phase == Phase.RECORDING) {
      finish();
    }
    return flush();
  }

  /** Returns whether the run has ended; late events are still to be delivered. */
  @Override
  public boolean isDone() {
    return phase == Phase.DONE;
  }

  private void call() {
    List<Vm> live = context.servers().get().stream().filter(s -> !tried.contains(s.vm())).toList();
    byte[] key = spec.requestId().getBytes(StandardCharsets.UTF_8);
    List<Vm> first = Rendezvous.top(key, live, Vm::vm, 1);
    if (first.isEmpty()) {
      fail(new Failure(ErrorKind.NO_SERVER, "no server is available", 1_000));
      return;
    }
    Vm s = first.get(0);
    tried.add(s.vm());
    calls++;
    server = s;
    channel = out.newChannel();
    phase = Phase.CALLING;
    long left = Math.max(1, spec.deadlineAtMs() - now());
    out.add(
        new Action.Call(
            channel,
            s,
            new Message.ServiceCall(
                spec.requestId(),
                spec.organisation(),
                spec.method(),
                spec.path(),
                spec.headers(),
                spec.body(),
                spec.idempotent(),
                left)));
  }

  private void onReply(ServiceReply r) {
    if (Digests.crc32c(r.body()) != r.checksum()) {
      lost("the answer failed its check");
      return;
    }
    reply = r;
    if (claimed) {
      phase = Phase.RECORDING;
      recordByMs = now() + RequestStateMachine.RECORD_WAIT_MS;
      out.add(new Action.RecordReply(r));
    } else {
      finish();
    }
  }

  private void onFailed(Failed f) {
    if (f.outcome() == Outcome.NOT_RUN) {
      notRun(CallerFailures.of(new Refused(f.kind(), "", 0)), false);
    } else if (f.kind() == ErrorKind.BACKEND_FAILED) {
      uncertain = true;
      fail(Failure.of(ErrorKind.BACKEND_FAILED, "the backend server reported an error"));
    } else {
      lost("the server lost the call");
    }
  }

  private void notRun(Failure failure, boolean unsent) {
    boolean maySend = spec.idempotent() || unsent;
    if (maySend && failure.kind().retryable() && mayRetry()) {
      call();
    } else {
      fail(failure);
    }
  }

  private void lost(String message) {
    uncertain = true;
    if (spec.idempotent() && mayRetry()) {
      call();
    } else {
      fail(unknown(message));
    }
  }

  private boolean mayRetry() {
    boolean untried = context.servers().get().stream().anyMatch(s -> !tried.contains(s.vm()));
    return untried && calls < MAX_CALLS && context.retries().tryRetry();
  }

  private Failure unknown(String message) {
    ErrorKind kind = spec.idempotent() ? ErrorKind.INCOMPLETE : ErrorKind.OUTCOME_UNKNOWN;
    return Failure.of(kind, message);
  }

  private void fail(Failure failure) {
    phase = Phase.DONE;
    if (claimed && !uncertain) {
      out.add(new Action.RecordNotRun());
    }
    boolean idempotent = spec.idempotent();
    out.add(
        new Action.Fail(
            uncertain ? CallerFailures.afterUncertainAttempt(failure, idempotent) : failure));
  }

  private void finish() {
    phase = Phase.DONE;
    ServiceReply r = reply;
    Vm s = server;
    if (r != null && s != null) {
      out.add(new Action.SendReply(s.vm(), r));
    }
  }

  private void closeChannel() {
    out.add(new Action.Close(channel));
    channel = -1;
  }

  private void cancel() {
    Vm s = server;
    if (channel >= 0 && s != null) {
      out.add(new Action.Cancel(channel, s, new Message.Cancel(spec.requestId())));
      channel = -1;
    }
  }

  private long now() {
    return context.clock().nowMs();
  }

  private List<Action> flush() {
    return out.flush(
        switch (phase) {
          case RECORDING -> recordByMs;
          case DONE -> Long.MAX_VALUE;
          default -> spec.deadlineAtMs();
        });
  }
}

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
 * State machine of one call to a plain service at the entry; the counterpart of {@link
 * RequestStateMachine}. A call that must not be repeated goes to another server only if it was
 * certainly not sent.
 */
public final class ServiceCallStateMachine implements EntryStateMachine {

  /** Largest number of servers that are tried for one call. */
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
  private final ActionBuffer out = new ActionBuffer();
  private final Set<String> tried = new HashSet<>();
  private Phase phase = Phase.NEW;
  private @Nullable Vm server;
  private @Nullable ServiceReply reply;
  private long channel = -1;
  private long recordTimeoutAtMs;
  private int calls;
  private boolean claimed;
  private boolean mayHaveRun;

  /** Creates the state machine of a call. */
  public ServiceCallStateMachine(ServiceSpec spec, RequestContext context) {
    this.spec = spec;
    this.context = context;
  }

  /** Starts the call; called once. */
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

  /** Handles the decision of the claim ledger about the claim. */
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

  /** Handles a message from a server. Late messages and those of other requests are dropped. */
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
      onNotRun(CallerFailures.of(r), false);
    } else if (message instanceof Failed f && f.requestId().equals(spec.requestId())) {
      closeChannel();
      onFailed(f);
    }
    return flush();
  }

  /**
   * Handles the end of a channel's stream.
   *
   * @param failure kind {@code NO_SERVER} if the call was certainly not sent
   */
  @Override
  public List<Action> onClosed(long onChannel, Failure failure) {
    if (phase == Phase.CALLING && onChannel == channel) {
      channel = -1;
      if (failure.kind() == ErrorKind.NO_SERVER) {
        onNotRun(Failure.of(ErrorKind.NO_SERVER, "the server was not reachable"), true);
      } else {
        onServerLost("the server was lost");
      }
    }
    return flush();
  }

  /** Handles the timer; may also be called before the timer is due. */
  @Override
  public List<Action> onTick() {
    out.timerFired(now());
    if (phase == Phase.RECORDING && now() >= recordTimeoutAtMs) {
      finish();
    } else if (phase == Phase.CALLING && now() >= spec.deadlineAtMs()) {
      mayHaveRun = true;
      cancel();
      fail(uncertainFailure("the deadline has passed"));
    } else if (phase == Phase.CLAIMING && now() >= spec.deadlineAtMs()) {
      fail(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed"));
    }
    return flush();
  }

  /**
   * Handles the loss of the caller's connection. A call that must not be repeated continues, so
   * that its answer is recorded and its execution is not interrupted.
   */
  @Override
  public List<Action> onCallerGone() {
    boolean continues = phase == Phase.CALLING && !spec.idempotent();
    if (phase != Phase.DONE && phase != Phase.RECORDING && !continues) {
      mayHaveRun |= phase == Phase.CALLING;
      cancel();
      fail(Failure.of(ErrorKind.CANCELLED, "the caller has gone"));
    }
    return flush();
  }

  /**
   * Handles the end of the wait for a claim's record: the answer is recorded, or the driver goes on
   * trying to record it.
   */
  @Override
  public List<Action> onRecorded() {
    if (phase == Phase.RECORDING) {
      finish();
    }
    return flush();
  }

  /** Returns whether the state machine has ended; later events must still be delivered to it. */
  @Override
  public boolean isDone() {
    return phase == Phase.DONE;
  }

  private void call() {
    List<Vm> live = context.servers().get().stream().filter(s -> !tried.contains(s.vm())).toList();
    byte[] key = spec.requestId().getBytes(StandardCharsets.UTF_8);
    List<Vm> chosen = Rendezvous.top(key, live, Vm::vm, 1);
    if (chosen.isEmpty()) {
      fail(new Failure(ErrorKind.NO_SERVER, "no server is available", 1_000));
      return;
    }
    Vm s = chosen.get(0);
    tried.add(s.vm());
    calls++;
    server = s;
    channel = out.newChannel();
    phase = Phase.CALLING;
    long remainingMs = Math.max(1, spec.deadlineAtMs() - now());
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
                remainingMs)));
  }

  private void onReply(ServiceReply r) {
    if (Digests.crc32c(r.body()) != r.checksum()) {
      onServerLost("the answer failed its check");
      return;
    }
    reply = r;
    if (claimed) {
      phase = Phase.RECORDING;
      recordTimeoutAtMs = now() + RequestStateMachine.RECORD_TIMEOUT_MS;
      out.add(new Action.RecordReply(r));
    } else {
      finish();
    }
  }

  private void onFailed(Failed f) {
    if (f.outcome() == Outcome.NOT_RUN) {
      onNotRun(CallerFailures.of(new Refused(f.kind(), "", 0)), false);
    } else if (f.kind() == ErrorKind.BACKEND_FAILED) {
      mayHaveRun = true;
      fail(Failure.of(ErrorKind.BACKEND_FAILED, "the backend server reported an error"));
    } else {
      onServerLost("the server lost the call");
    }
  }

  private void onNotRun(Failure failure, boolean unsent) {
    boolean maySend = spec.idempotent() || unsent;
    if (maySend && failure.kind().retryable() && mayRetry()) {
      call();
    } else {
      fail(failure);
    }
  }

  private void onServerLost(String message) {
    mayHaveRun = true;
    if (spec.idempotent() && mayRetry()) {
      call();
    } else {
      fail(uncertainFailure(message));
    }
  }

  private boolean mayRetry() {
    boolean untried = context.servers().get().stream().anyMatch(s -> !tried.contains(s.vm()));
    return untried && calls < MAX_CALLS && context.retries().tryRetry();
  }

  private Failure uncertainFailure(String message) {
    ErrorKind kind = spec.idempotent() ? ErrorKind.INCOMPLETE : ErrorKind.OUTCOME_UNKNOWN;
    return Failure.of(kind, message);
  }

  private void fail(Failure failure) {
    phase = Phase.DONE;
    if (claimed && !mayHaveRun) {
      out.add(new Action.RecordNotRun());
    }
    boolean idempotent = spec.idempotent();
    out.add(
        new Action.Fail(
            mayHaveRun ? CallerFailures.afterUncertainAttempt(failure, idempotent) : failure));
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
          case RECORDING -> recordTimeoutAtMs;
          case DONE -> Long.MAX_VALUE;
          default -> spec.deadlineAtMs();
        });
  }
}

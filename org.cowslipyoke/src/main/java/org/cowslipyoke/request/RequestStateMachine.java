package org.cowslipyoke.request;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.request.ProbeRound.Held;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.suspect.SuspectList.Status;
import org.jspecify.annotations.Nullable;

/**
 * State machine of one model request at the entry. Each method takes an event and returns the
 * actions for its driver. It has no thread and does no I/O; the driver calls one method at a time.
 *
 * <p>A non-idempotent request is sent by at most one {@link Action.Start}; a second one follows
 * only if the driver has reported that the first was not sent. "Not run" is reported only if no
 * start was sent or each start was confirmed as dropped.
 */
public final class RequestStateMachine implements EntryStateMachine {

  /** Rounds of probes of one request, so that one request cannot use up the retry budget. */
  public static final int MAX_ROUNDS = 5;

  /** Silence of a running stream after which it is resumed, in milliseconds. */
  public static final long SILENCE_MS = 3_000;

  /** As {@link #SILENCE_MS} for overnight requests, which engines preempt. */
  public static final long OVERNIGHT_SILENCE_MS = 30_000;

  /** Milliseconds that the end of an answer waits for the record of a claim. */
  public static final long RECORD_WAIT_MS = 2_000;

  /** Resumes without a new token after which a server counts as lost. */
  public static final int MAX_RESUMES = 3;

  /** As {@link #MAX_RESUMES} for non-idempotent requests, which no other server can continue. */
  public static final int MAX_RESUMES_NON_IDEMPOTENT = 6;

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 1_000;

  private enum Phase {
    NEW,
    CLAIMING,
    PROBING,
    BACKOFF,
    RUNNING,
    RECORDING,
    DONE
  }

  private final RequestSpec spec;
  private final RequestContext context;
  private final RunMessages messages;
  private final Outbox out = new Outbox();
  private final Placement placement;
  private final Execution execution;
  private Phase phase = Phase.NEW;
  private @Nullable Completion completion;
  private long wakeAtMs;
  private int rounds;
  private int crashes;
  private boolean claimed;
  private boolean uncertain;

  /** Creates the state machine of a request. */
  public RequestStateMachine(RequestSpec spec, RequestContext context) {
    this.spec = spec;
    this.context = context;
    this.messages = new RunMessages(spec);
    this.execution = new Execution(spec, context.clock(), messages, out);
    this.placement = new Placement(spec, context, messages, out);
  }

  /** Begins the request; called once. */
  @Override
  public List<Action> start() {
    context.retries().onRequest();
    if (standing() == Status.QUARANTINED) {
      fail(Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers"));
    } else if (now() >= spec.deadlineAtMs()) {
      fail(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed"));
    } else if (spec.idempotencyKey().isPresent()) {
      phase = Phase.CLAIMING;
      long term = spec.deadlineAtMs() - now();
      String key = spec.idempotencyKey().get();
      out.add(new Action.Claim(spec.routing().organisation(), key, spec.digest(), term));
    } else {
      probe();
    }
    return flush();
  }

  /** The ledger has decided about the claim. */
  @Override
  public List<Action> onClaim(ClaimDecision decision) {
    if (decision instanceof ClaimDecision.Granted) {
      if (phase == Phase.CLAIMING) {
        claimed = true;
        probe();
      } else if (phase == Phase.DONE && !claimed) {
        // The caller or the deadline was faster; nothing was sent, so the key is free again.
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
  public List<Action> onMessage(long channel, Message message) {
    if (phase == Phase.RUNNING && execution.owns(channel)) {
      apply(execution.onMessage(message));
    } else {
      placement.onMessage(channel, message);
      decide();
    }
    return flush();
  }

  /**
   * The stream of a channel has ended.
   *
   * @param failure kind {@code NO_SERVER} if the last message was certainly not sent
   */
  @Override
  public List<Action> onClosed(long channel, Failure failure) {
    if (phase == Phase.RUNNING && execution.owns(channel)) {
      apply(execution.onClosed(failure));
    } else {
      placement.onClosed(channel);
      decide();
    }
    return flush();
  }

  /** The clock has reached the time of the timer, or any other time. */
  @Override
  public List<Action> onTick() {
    out.timerFired(now());
    if (phase == Phase.RECORDING && now() >= wakeAtMs) {
      finish();
    } else if (phase != Phase.DONE && phase != Phase.RECORDING && now() >= spec.deadlineAtMs()) {
      onDeadline();
    } else if (phase == Phase.PROBING) {
      decide();
    } else if (phase == Phase.BACKOFF && now() >= wakeAtMs) {
      probe();
    } else if (phase == Phase.RUNNING) {
      apply(execution.onTick());
    }
    return flush();
  }

  /**
   * The caller's connection is gone. A claimed request that was sent runs on, so that its answer is
   * recorded for a repeat; all other work is cancelled.
   */
  @Override
  public List<Action> onCallerGone() {
    execution.callerGone();
    boolean runsOn = claimed && execution.isActive();
    if (phase != Phase.DONE && phase != Phase.RECORDING && !runsOn) {
      uncertain |= execution.cancel();
      fail(Failure.of(ErrorKind.CANCELLED, "the caller has gone"));
    }
    return flush();
  }

  /** The answer of a claimed request is recorded, or the ledger goes on trying by itself. */
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

  private void probe() {
    rounds++;
    phase = Phase.PROBING;
    if (!placement.startRound(isSuspect())) {
      retry(new Failure(ErrorKind.NO_SERVER, "no server is available", MAX_BACKOFF_MS));
    }
  }

  private void decide() {
    if (phase != Phase.PROBING) {
      return;
    }
    Optional<Placement.Result> result = placement.decide(!execution.hasTokens());
    if (result.isEmpty()) {
      return;
    }
    if (result.get() instanceof Placement.Result.Taken t) {
      begin(t.held());
    } else if (spec.skipTokens() > 0) {
      uncertain = true;
      fail(Failure.of(ErrorKind.INCOMPLETE, "no server holds the run any more"));
    } else if (result.get() instanceof Placement.Result.Nothing n) {
      retry(n.failure());
    }
  }

  private void begin(Held held) {
    phase = Phase.RUNNING;
    if (held.candidate().offer().runningOffset() >= 0) {
      uncertain = true;
    }
    execution.begin(held, isSuspect());
  }

  private void apply(Optional<Execution.Result> result) {
    if (result.isEmpty()) {
      return;
    }
    Execution.Result r = result.get();
    if (r instanceof Execution.Result.Whole w) {
      complete(w.completion());
    } else if (r instanceof Execution.Result.NotRun n) {
      notRun(n);
    } else if (r instanceof Execution.Result.Crashed) {
      onCrash();
    } else if (r instanceof Execution.Result.Broken b) {
      uncertain = true;
      fail(b.failure());
    } else if (r instanceof Execution.Result.Lost) {
      serverLost();
    }
  }

  private void complete(Completion done) {
    completion = done;
    if (isSuspect()) {
      out.add(new Action.ClearSuspect(spec.digest()));
    }
    if (claimed) {
      phase = Phase.RECORDING;
      wakeAtMs = now() + RECORD_WAIT_MS;
      out.add(new Action.RecordCompletion(done));
    } else {
      finish();
    }
  }

  private void onCrash() {
    crashes++;
    uncertain = true;
    boolean known = crashes == 1 && standing() != Status.CLEAR;
    boolean quarantined = known || crashes >= SuspectList.MAX_CRASHES;
    out.add(new Action.ReportCrash(spec.digest()));
    if (!spec.idempotent() || quarantined) {
      fail(Failure.of(ErrorKind.CRASHED_SERVERS, "the request was running as its server crashed"));
    } else {
      serverLost();
    }
  }

  /**
   * Nothing ran. A non-idempotent request that was sent is not sent again even then, so that its
   * safety does not rest on the confirmation of one server.
   */
  private void notRun(Execution.Result.NotRun result) {
    if (spec.idempotent() || result.unsent()) {
      retry(result.failure());
    } else {
      fail(result.failure());
    }
  }

  /** Continues elsewhere if the request permits it; the first run may have been executed. */
  private void serverLost() {
    uncertain = true;
    if (spec.idempotent() && spec.skipTokens() == 0) {
      retry(messages.lost("the server was lost"));
    } else {
      fail(messages.lost("the server was lost"));
    }
  }

  private void onDeadline() {
    if (execution.cancel()) {
      uncertain = true;
      fail(messages.lost("the deadline has passed"));
    } else {
      fail(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed"));
    }
  }

  /** Tries another server if the budgets and the deadline permit it. */
  private void retry(Failure failure) {
    boolean permitted = failure.kind().retryable() || failure.kind() == ErrorKind.INCOMPLETE;
    if (!permitted || rounds >= MAX_ROUNDS || !context.retries().tryRetry()) {
      fail(failure);
    } else if (placement.hasUntried()) {
      probe();
    } else if (failure.kind() == ErrorKind.DEADLINE_TOO_SHORT) {
      fail(failure);
    } else {
      placement.forgetTried();
      phase = Phase.BACKOFF;
      long hint = Math.max(failure.retryAfterMs(), MIN_BACKOFF_MS << rounds);
      wakeAtMs = now() + Math.min(hint, MAX_BACKOFF_MS);
    }
  }

  private void finish() {
    phase = Phase.DONE;
    Completion done = completion;
    if (done != null) {
      out.add(new Action.Finish(done));
    }
  }

  private void fail(Failure failure) {
    placement.stop();
    phase = Phase.DONE;
    if (claimed && !uncertain) {
      out.add(new Action.RecordNotRun());
    }
    boolean idempotent = spec.idempotent();
    out.add(
        new Action.Fail(
            uncertain ? CallerFailures.afterUncertainAttempt(failure, idempotent) : failure));
  }

  private Status standing() {
    return context.suspects().status(spec.digest(), context.clock().wallMs());
  }

  private boolean isSuspect() {
    return crashes > 0 || standing() != Status.CLEAR;
  }

  private long now() {
    return context.clock().nowMs();
  }

  private List<Action> flush() {
    long wake =
        switch (phase) {
          case PROBING -> Math.min(placement.wakeAtMs(), spec.deadlineAtMs());
          case BACKOFF -> Math.min(wakeAtMs, spec.deadlineAtMs());
          case RUNNING -> Math.min(execution.wakeAtMs(), spec.deadlineAtMs());
          case RECORDING -> wakeAtMs;
          case DONE -> Long.MAX_VALUE;
          default -> spec.deadlineAtMs();
        };
    return out.flush(wake);
  }
}

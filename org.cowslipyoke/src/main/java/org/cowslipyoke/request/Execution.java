package org.cowslipyoke.request;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.message.Message.Tokens;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.request.ProbeRound.Held;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/** Follows the answer of a request on its servers: start, resume, checks and relay. */
final class Execution {

  /** How the run on one server ended. */
  sealed interface Result {
    /** The answer is whole. */
    record Whole(Completion completion) implements Result {}

    /** The server has confirmed, or the driver has, that nothing ran. */
    record NotRun(Failure failure, boolean unsent) implements Result {}

    /** The run can't be reached any more; it may have been executed. */
    record Lost() implements Result {}

    /** The engine crashed. */
    record Crashed() implements Result {}

    /** The request ended with an error that no other server changes. */
    record Broken(Failure failure) implements Result {}
  }

  private final RequestSpec spec;
  private final Clock clock;
  private final RunMessages messages;
  private final Outbox out;
  private final AnswerCheck answer = new AnswerCheck();
  private @Nullable Attempt attempt;
  private int starts;
  private int reusedTokens;
  private boolean begun;
  private boolean callerGone;

  Execution(RequestSpec spec, Clock clock, RunMessages messages, Outbox out) {
    this.spec = spec;
    this.clock = clock;
    this.messages = messages;
    this.out = out;
  }

  /** Returns whether tokens were received. */
  boolean hasTokens() {
    return answer.offset() > 0;
  }

  boolean isActive() {
    return attempt != null;
  }

  boolean owns(long channel) {
    return attempt != null && attempt.channel() == channel;
  }

  long wakeAtMs() {
    return attempt == null ? Long.MAX_VALUE : attempt.wakeAtMs();
  }

  /** Stops relaying; the answer is still collected. */
  void callerGone() {
    callerGone = true;
  }

  /** Starts on the server of an offer, or attaches to the run that it already holds. */
  void begin(Held held, boolean suspect) {
    Vm server = held.candidate().server();
    Offer offer = held.candidate().offer();
    boolean attach = offer.runningOffset() >= 0 && !hasTokens();
    boolean overnight = spec.priority().equals("overnight");
    long silence =
        overnight ? RequestStateMachine.OVERNIGHT_SILENCE_MS : RequestStateMachine.SILENCE_MS;
    long first = Math.max(silence, 2 * offer.ttftMs());
    long now = clock.nowMs();
    attempt = new Attempt(held.channel(), server, !attach, now, first, silence);
    if (attach) {
      out.add(new Action.Resume(held.channel(), server, messages.resume(0)));
    } else {
      Message.Start m = messages.start(starts++, offer, answer, suspect, now);
      out.add(new Action.Start(held.channel(), server, m));
    }
  }

  /** Takes a message of the server; messages of another request are dropped. */
  Optional<Result> onMessage(Message message) {
    Attempt a = attempt;
    if (a == null || isCrossed(message)) {
      return Optional.empty();
    }
    a.heard(clock.nowMs());
    if (message instanceof Started s) {
      a.begun();
      announce(a, s.reusedTokens());
    } else if (message instanceof Tokens t) {
      return onTokens(a, t);
    } else if (message instanceof End e) {
      return onEnd(a, e);
    } else if (message instanceof Failed f) {
      return end(onFailed(f));
    } else if (message instanceof Refused r) {
      return end(
          a.mayBeRefused() ? new Result.NotRun(CallerFailures.of(r), false) : new Result.Lost());
    }
    return Optional.empty();
  }

  /** The stream of the run has ended. */
  Optional<Result> onClosed(Failure failure) {
    Attempt a = attempt;
    if (a == null) {
      return Optional.empty();
    }
    if (failure.kind() == ErrorKind.NO_SERVER && a.isStartOnly()) {
      attempt = null;
      Failure f = Failure.of(ErrorKind.NO_SERVER, "the server was not reachable");
      return Optional.of(new Result.NotRun(f, true));
    }
    return resume(a);
  }

  /** Resumes a run that was silent for too long, or whose next resume is due. */
  Optional<Result> onTick() {
    Attempt a = attempt;
    if (a == null || clock.nowMs() < a.wakeAtMs()) {
      return Optional.empty();
    }
    if (a.channel() < 0) {
      sendResume(a);
      return Optional.empty();
    }
    out.add(new Action.Close(a.channel()));
    return resume(a);
  }

  /** Ends the run at the server; returns whether there was one. */
  boolean cancel() {
    Attempt a = attempt;
    if (a == null) {
      return false;
    }
    // A server applies a cancel to the stream of the run only; without one it drops the run itself.
    if (a.channel() >= 0) {
      out.add(new Action.Cancel(a.channel(), a.server(), messages.cancel()));
    }
    attempt = null;
    return true;
  }

  private boolean isCrossed(Message message) {
    String id = spec.requestId();
    return (message instanceof Tokens t && !t.requestId().equals(id))
        || (message instanceof End e && !e.requestId().equals(id))
        || (message instanceof Failed f && !f.requestId().equals(id));
  }

  private Optional<Result> onTokens(Attempt a, Tokens t) {
    if (answer.isAhead(t)) {
      out.add(new Action.Close(a.channel()));
      return resume(a);
    }
    final long from = answer.offset();
    List<String> fresh = answer.accept(t);
    if (fresh.isEmpty()) {
      return Optional.empty();
    }
    a.progressed();
    announce(a, 0);
    long skip = Math.max(0, spec.skipTokens() - from);
    if (skip < fresh.size() && !callerGone) {
      out.add(new Action.Relay(from + skip, fresh.subList((int) skip, fresh.size())));
    }
    return Optional.empty();
  }

  private Optional<Result> onEnd(Attempt a, End end) {
    AnswerCheck.Verdict verdict = answer.verify(end);
    if (verdict == AnswerCheck.Verdict.GAP) {
      out.add(new Action.Close(a.channel()));
      return resume(a);
    }
    if (verdict == AnswerCheck.Verdict.CORRUPT) {
      return end(new Result.Broken(messages.lost("the answer failed its check")));
    }
    announce(a, 0);
    String vm = a.server().vm();
    Completion c = new Completion(vm, answer.pieces(), end.finishReason(), reusedTokens);
    return end(new Result.Whole(c));
  }

  private Result onFailed(Failed f) {
    if (f.kind() == ErrorKind.ENGINE_CRASHED) {
      return new Result.Crashed();
    }
    if (f.outcome() == Outcome.NOT_RUN) {
      return new Result.NotRun(CallerFailures.of(new Refused(f.kind(), "", 0)), false);
    }
    if (f.kind() == ErrorKind.BACKEND_FAILED) {
      Failure failure = Failure.of(f.kind(), "the backend server reported an error");
      return new Result.Broken(failure);
    }
    return new Result.Lost();
  }

  private Optional<Result> end(Result result) {
    Attempt a = attempt;
    if (a != null) {
      out.add(new Action.Close(a.channel()));
      attempt = null;
    }
    return Optional.of(result);
  }

  private Optional<Result> resume(Attempt a) {
    int max =
        spec.idempotent()
            ? RequestStateMachine.MAX_RESUMES
            : RequestStateMachine.MAX_RESUMES_NON_IDEMPOTENT;
    if (a.resumes() >= max) {
      attempt = null;
      return Optional.of(new Result.Lost());
    }
    a.planResume(clock.nowMs());
    if (clock.nowMs() >= a.wakeAtMs()) {
      sendResume(a);
    }
    return Optional.empty();
  }

  private void sendResume(Attempt a) {
    a.resumedOn(out.newChannel(), clock.nowMs());
    out.add(new Action.Resume(a.channel(), a.server(), messages.resume(answer.offset())));
  }

  private void announce(Attempt a, int reused) {
    if (!begun) {
      begun = true;
      reusedTokens = reused;
      out.add(new Action.ReportStarted(a.server().vm(), reused));
    }
  }
}

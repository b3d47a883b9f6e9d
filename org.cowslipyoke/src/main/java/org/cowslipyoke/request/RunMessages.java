package org.cowslipyoke.request;

import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Offer;

/** Builds the messages of one request. */
final class RunMessages {

  private final RequestSpec spec;

  RunMessages(RequestSpec spec) {
    this.spec = spec;
  }

  Message.Probe probe(long nowMs, boolean suspect) {
    return new Message.Probe(
        spec.requestId(),
        spec.routing().organisation(),
        spec.routing().model(),
        spec.adapter(),
        spec.weightVersion(),
        spec.digest(),
        spec.priority(),
        left(nowMs),
        spec.maxTokens(),
        spec.routing().promptTokens(),
        spec.blockKeys(),
        suspect);
  }

  Message.Start start(int number, Offer offer, AnswerCheck answer, boolean suspect, long nowMs) {
    return new Message.Start(
        spec.requestId(),
        number,
        offer.reservationId(),
        spec.routing().organisation(),
        spec.routing().model(),
        spec.adapter(),
        offer.weightVersion(),
        spec.digest(),
        spec.priority(),
        spec.maxTokens(),
        spec.prompt(),
        answer.text(),
        answer.offset(),
        suspect,
        left(nowMs));
  }

  Message.Resume resume(long offset) {
    return new Message.Resume(
        spec.requestId(), spec.routing().organisation(), spec.digest(), offset);
  }

  Message.Cancel cancel() {
    return new Message.Cancel(spec.requestId());
  }

  /** Returns the failure for a request that may have been executed. */
  Failure lost(String message) {
    ErrorKind kind = spec.idempotent() ? ErrorKind.INCOMPLETE : ErrorKind.OUTCOME_UNKNOWN;
    return Failure.of(kind, message);
  }

  private long left(long nowMs) {
    return Math.max(1, spec.deadlineAtMs() - nowMs);
  }
}

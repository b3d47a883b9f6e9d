package org.cowslipyoke.request;

import java.util.Comparator;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message.Refused;

/**
 * Converts failures reported by servers into failures for callers. The messages are fixed here; a
 * server's message is never passed on, because it may describe the work of another organisation.
 */
final class CallerFailures {

  /** Ranks {@code NO_SERVER} lowest, because it tells the caller least. */
  private static final Comparator<Failure> BY_RELEVANCE =
      Comparator.comparingInt(f -> f.kind() == ErrorKind.NO_SERVER ? 0 : 1);

  private CallerFailures() {}

  /** Returns the failure for the caller that corresponds to a server's refusal. */
  static Failure of(Refused refused) {
    return switch (refused.kind()) {
      case SERVER_COLD, SUSPECT_BUSY, RESERVATION_EXPIRED, OVERLOADED, RATE_LIMITED ->
          new Failure(ErrorKind.OVERLOADED, "no server has capacity", retryAfterMs(refused));
      case DEADLINE_TOO_SHORT ->
          new Failure(
              ErrorKind.DEADLINE_TOO_SHORT,
              "the deadline would pass in the queue",
              retryAfterMs(refused));
      case QUARANTINED ->
          Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers");
      case INVALID_REQUEST, TOO_LARGE -> Failure.of(refused.kind(), "the server cannot run this");
      default -> new Failure(ErrorKind.NO_SERVER, "no server is available", retryAfterMs(refused));
    };
  }

  /** Returns the failure for the caller after a round of probes without a usable offer. */
  static Failure of(List<Refused> refusals) {
    return refusals.stream()
        .map(CallerFailures::of)
        .max(BY_RELEVANCE)
        .orElse(new Failure(ErrorKind.NO_SERVER, "no server answered", 1_000));
  }

  /**
   * Returns the failure to report if an earlier attempt may have run: a failure with outcome {@code
   * NOT_RUN} is replaced by one with outcome {@code UNKNOWN}.
   */
  static Failure afterUncertainAttempt(Failure failure, boolean idempotent) {
    if (failure.outcome() != Outcome.NOT_RUN) {
      return failure;
    }
    return idempotent
        ? Failure.of(ErrorKind.INCOMPLETE, "the answer was cut off and could not be continued")
        : Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the server was lost after the request was sent");
  }

  private static long retryAfterMs(Refused refused) {
    return refused.retryAfterMs() > 0 ? refused.retryAfterMs() : 1_000;
  }
}

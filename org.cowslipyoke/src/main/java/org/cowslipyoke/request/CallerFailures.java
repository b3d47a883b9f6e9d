package org.cowslipyoke.request;

import java.util.Comparator;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message.Refused;

/**
 * Turns failures between daemons into failures for callers. The texts are fixed here; the text of a
 * server is never passed on, because it may describe the work of another organisation.
 */
final class CallerFailures {

  private static final Comparator<Failure> MOST_USEFUL =
      Comparator.comparingInt(f -> f.kind() == ErrorKind.NO_SERVER ? 0 : 1);

  private CallerFailures() {}

  /** Returns the failure that a refusal by a server means for the caller. */
  static Failure of(Refused refused) {
    return switch (refused.kind()) {
      case SERVER_COLD, SUSPECT_BUSY, RESERVATION_EXPIRED, OVERLOADED, RATE_LIMITED ->
          new Failure(ErrorKind.OVERLOADED, "no server has capacity", retry(refused));
      case DEADLINE_TOO_SHORT ->
          new Failure(
              ErrorKind.DEADLINE_TOO_SHORT, "the deadline would pass in the queue", retry(refused));
      case QUARANTINED ->
          Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers");
      case INVALID_REQUEST, TOO_LARGE -> Failure.of(refused.kind(), "the server cannot run this");
      default -> new Failure(ErrorKind.NO_SERVER, "no server is available", retry(refused));
    };
  }

  /** Returns the failure for a round of probes without a usable offer. */
  static Failure of(List<Refused> refusals) {
    return refusals.stream()
        .map(CallerFailures::of)
        .max(MOST_USEFUL)
        .orElse(new Failure(ErrorKind.NO_SERVER, "no server answered", 1_000));
  }

  /**
   * Returns the failure with an outcome that is true although an earlier attempt may have run: a
   * failure that says "not run" becomes one that says "unknown".
   */
  static Failure afterUncertainAttempt(Failure failure, boolean idempotent) {
    if (failure.outcome() != Outcome.NOT_RUN) {
      return failure;
    }
    return idempotent
        ? Failure.of(ErrorKind.INCOMPLETE, "the answer was cut off and could not be continued")
        : Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the server was lost after the request was sent");
  }

  private static long retry(Refused refused) {
    return refused.retryAfterMs() > 0 ? refused.retryAfterMs() : 1_000;
  }
}

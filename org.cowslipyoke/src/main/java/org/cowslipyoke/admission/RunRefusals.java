package org.cowslipyoke.admission;

import java.util.Optional;
import org.cowslipyoke.admission.Reservations.Reservation;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.util.Clock;

/** Reasons for which a run that was offered or accepted must no longer be submitted. */
final class RunRefusals {

  private final Clock clock;
  private final EngineView engine;

  RunRefusals(Clock clock, EngineView engine) {
    this.clock = clock;
    this.engine = engine;
  }

  /**
   * Returns the refusal of a start if the weights were swapped since the reservation, or if the
   * sender names another version than the one that it requested or was offered.
   */
  Optional<Failure> startVersion(Reservation reservation, AdmissionRequest started) {
    boolean same = reservation.weightVersion().equals(engine.weightVersion());
    String named = started.weightVersion();
    boolean known =
        named.equals(reservation.weightVersion())
            || named.equals(reservation.request().weightVersion());
    return same && known
        ? Optional.empty()
        : Optional.of(Failure.of(ErrorKind.WRONG_VERSION, "weights changed since the reservation"));
  }

  /** Returns the refusal of a run whose deadline has passed. */
  Optional<Failure> deadline(Ticket t) {
    return clock.nowMs() < t.deadlineAtMs()
        ? Optional.empty()
        : Optional.of(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue"));
  }

  /** Returns the refusal of a run that the engine can't serve with its present weights. */
  Optional<Failure> ticketVersion(Ticket t) {
    boolean same = t.weightVersion().equals(engine.weightVersion());
    return engine
        .refusal(t.request())
        .or(
            () ->
                same
                    ? Optional.empty()
                    : Optional.of(
                        Failure.of(ErrorKind.WRONG_VERSION, "weights changed while waiting")));
  }

  /** Returns the refusal of a run at a server that has turned cold. */
  Optional<Failure> cold() {
    return Optional.of(
        new Failure(ErrorKind.SERVER_COLD, "the server turned cold", engine.retryAfterMs()));
  }
}

package org.cowslipyoke.relay;

import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * Refuses a stream at once whose first event is expected too late to be of use. Answers for more
 * prompts than the engines read: without it every prompt waits behind the ones that came before,
 * and all are late; with it those that are taken are answered in time, and the others learn at once
 * when to come back.
 */
public final class EarlyRefusal {

  /**
   * Part of the route's objective up to which an expected first event is worth the work. Under
   * lasting overload the work that waits settles at this limit, so a higher one makes all answers
   * late; a lower one refuses prompts that a short burst delays (0.8 cost a tenth of a calm day).
   */
  static final double OBJECTIVE_PART = 1.0;

  /** Longest expected time where a route states no objective, in ms; callers give up after it. */
  static final long NO_OBJECTIVE_MS = 2_000;

  private EarlyRefusal() {}

  /**
   * Decides on a request.
   *
   * @param elapsedMs time since the request came
   * @param leftMs time that is left for it
   * @param expectedMs expected time to the first event from now
   * @return the refusal, with the time after which the work that waits now will have been done
   */
  public static Optional<Failure> decide(
      Route route, long elapsedMs, long leftMs, double expectedMs) {
    double limit = route.objectiveMs() > 0 ? OBJECTIVE_PART * route.objectiveMs() : NO_OBJECTIVE_MS;
    boolean late = route.kind() == RequestKind.STREAM && elapsedMs + expectedMs > limit;
    if (!late && expectedMs <= leftMs) {
      return Optional.empty();
    }
    String text = "the first event is expected in " + Math.round(expectedMs) + " ms";
    return Optional.of(
        new Failure(ErrorKind.DEADLINE_TOO_SHORT, text, Math.max(1, Math.round(expectedMs))));
  }
}

package org.cowslipyoke.relay;

import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * Sheds load: refuses a stream if its first event is expected too late. If prompts arrive faster
 * than the engines can prefill them, the queue would otherwise delay every prompt beyond its
 * objective. With load shedding the admitted prompts are answered in time, and the others are told
 * when to retry.
 */
public final class LoadShedder {

  /**
   * Maximum expected time to the first event as a fraction of the route's objective. Under
   * sustained overload the queue settles at this limit, so a higher value makes all responses late.
   * A lower value refuses prompts that a short burst delays; 0.8 refused a tenth of the prompts at
   * normal load.
   */
  static final double OBJECTIVE_FACTOR = 1.0;

  /** Limit for routes without an objective, in milliseconds; callers give up after this time. */
  static final long DEFAULT_OBJECTIVE_MS = 2_000;

  private LoadShedder() {}

  /**
   * Decides whether a request is refused.
   *
   * @param elapsedMs time since the request arrived, in milliseconds
   * @param leftMs time until the deadline of the request, in milliseconds
   * @param expectedMs expected time from now to the first event, in milliseconds
   * @return the refusal, whose retry delay is the time to finish the work that is queued now; empty
   *     if the request may run
   */
  public static Optional<Failure> decide(
      Route route, long elapsedMs, long leftMs, double expectedMs) {
    double limit =
        route.objectiveMs() > 0 ? OBJECTIVE_FACTOR * route.objectiveMs() : DEFAULT_OBJECTIVE_MS;
    boolean late = route.kind() == RequestKind.STREAM && elapsedMs + expectedMs > limit;
    if (!late && expectedMs <= leftMs) {
      return Optional.empty();
    }
    String text = "the first event is expected in " + Math.round(expectedMs) + " ms";
    return Optional.of(
        new Failure(ErrorKind.DEADLINE_TOO_SHORT, text, Math.max(1, Math.round(expectedMs))));
  }
}

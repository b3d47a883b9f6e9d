package org.cowslipyoke.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.jspecify.annotations.Nullable;

/**
 * State machine of the attempts to run one request on backend servers; uses no threads and no I/O.
 * Guarantees that a request that must not be retried runs at most once, and that a request reported
 * as "not run" did not run. Not thread-safe.
 */
public final class RequestAttempts {

  /**
   * Maximum number of attempts of one request. Also limits the attempts that don't count towards
   * the route's limit because nothing was sent or the wrong server answered.
   */
  static final int MAX_ATTEMPTS = 4;

  /** Retry delay suggested to callers when no server accepts the request, in milliseconds. */
  static final long RETRY_AFTER_MS = 150;

  /** The step after an attempt has ended. */
  public enum NextStep {
    /** Send the request to another server. */
    AGAIN,
    /** Let the run go on at the server that holds a copy of its memory. */
    CONTINUE,
    /** Pass the server's error response on to the caller. */
    PASS_ON,
    /** Answer the caller with {@link #finalFailure()}. */
    FAIL,
    /** Close the caller's connection, because part of the response has already been sent. */
    CUT
  }

  private final Route route;
  private final BooleanSupplier retryBudget;
  private final Set<String> triedIncarnations = new HashSet<>();
  private int attempts;
  private int countedAttempts;
  private boolean mayHaveRun;
  private boolean responseStarted;
  private boolean continued;
  private @Nullable String lastEventId;
  private @Nullable String software;

  /**
   * Creates the state of a request without attempts.
   *
   * @param retryBudget acquires one retry from the service's budget; false if the budget is used up
   */
  public RequestAttempts(Route route, @Nullable String lastEventId, BooleanSupplier retryBudget) {
    this.route = route;
    this.lastEventId = lastEventId;
    this.retryBudget = retryBudget;
  }

  /** Records that the request is about to be sent to a server. */
  public void recordAttempt(BackendServer server) {
    attempts++;
    triedIncarnations.add(server.incarnation());
  }

  /** Returns whether the request was sent to this server before. */
  public boolean hasTried(BackendServer server) {
    return triedIncarnations.contains(server.incarnation());
  }

  /** Lets the request be sent again to a server that the last attempt did not reach. */
  public void forget(BackendServer server) {
    triedIncarnations.remove(server.incarnation());
  }

  /** Records that part of a response was sent to the caller. */
  public void recordResponseStarted() {
    responseStarted = true;
  }

  /** Returns whether part of a response was sent to the caller. */
  public boolean isResponseStarted() {
    return responseStarted;
  }

  /** Binds the rest of the stream to servers with a version of their software. */
  public void bind(String version) {
    software = version;
  }

  /** Returns whether the stream is bound to a version. */
  public boolean isBound() {
    return software != null;
  }

  /** Returns whether the stream may begin or go on at a server. */
  public boolean mayRunAt(BackendServer server) {
    String version = software;
    return version == null || version.equals(server.software());
  }

  /** Records the id of the last event that was sent completely to the caller. */
  public void recordEventSent(String id) {
    lastEventId = id;
  }

  /** Returns the id of the last event that the caller received, null if none. */
  public @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Returns the number of attempts so far. */
  public int attempts() {
    return attempts;
  }

  /**
   * Returns whether the request may be sent to another server if the current attempt ends without a
   * complete response; the retry budget may still forbid it.
   */
  public boolean mayRetryCurrentAttempt() {
    return route.isRetryable()
        && attempts < MAX_ATTEMPTS
        && countedAttempts + 1 < route.maxAttempts();
  }

  /** Returns whether the run of the current attempt may go on from a copy if it breaks off. */
  public boolean mayContinueCurrentAttempt() {
    return !continued && attempts < MAX_ATTEMPTS;
  }

  /** Decides on the step after the end of an attempt whose run was not copied. */
  public NextStep onAttemptEnd(AttemptEnd end, boolean others, boolean timeLeft) {
    return onAttemptEnd(end, others, false, timeLeft);
  }

  /**
   * Decides on the step after an attempt has ended. A run goes on from a copy at most once, also if
   * the request must not be retried, because the server with the copy either continues the same run
   * or refuses the request.
   *
   * @param others whether another server could run the request
   * @param copied whether another server that may get work holds a copy of the run
   * @param timeLeft whether enough time is left for another attempt
   */
  public NextStep onAttemptEnd(AttemptEnd end, boolean others, boolean copied, boolean timeLeft) {
    boolean arrived = end != AttemptEnd.NOT_SENT;
    if (arrived && end != AttemptEnd.MISDIRECTED) {
      countedAttempts++;
    }
    boolean ran = end == AttemptEnd.BROKEN || end == AttemptEnd.FAILED;
    mayHaveRun |= ran;
    if (end == AttemptEnd.BROKEN
        && copied
        && timeLeft
        && mayContinueCurrentAttempt()
        && retryBudget.getAsBoolean()) {
      continued = true;
      return NextStep.CONTINUE;
    }
    boolean allowed = !mayHaveRun || route.isRetryable();
    boolean again =
        allowed
            && others
            && timeLeft
            && attempts < MAX_ATTEMPTS
            && countedAttempts < route.maxAttempts()
            && (!arrived || retryBudget.getAsBoolean());
    if (again) {
      return NextStep.AGAIN;
    }
    if (responseStarted) {
      return NextStep.CUT;
    }
    return end == AttemptEnd.FAILED ? NextStep.PASS_ON : NextStep.FAIL;
  }

  /** Returns the final failure of a request without a complete response from a server. */
  public Failure finalFailure() {
    return finalFailure(RETRY_AFTER_MS);
  }

  /**
   * Returns the final failure of a request without a complete response from a server.
   *
   * @param retryAfterMs time until a server is available again, in milliseconds
   */
  public Failure finalFailure(long retryAfterMs) {
    if (mayHaveRun) {
      return Failure.of(ErrorKind.INCOMPLETE, "the server's answer broke off");
    }
    long delayMs = Math.max(RETRY_AFTER_MS, retryAfterMs);
    return new Failure(ErrorKind.OVERLOADED, "no server took the request", delayMs);
  }

  /**
   * Returns the failure of a request whose deadline has passed.
   *
   * @param inFlight whether an attempt has sent the request and not ended
   */
  public Failure timeoutFailure(boolean inFlight) {
    if (mayHaveRun || inFlight) {
      return Failure.of(ErrorKind.OUTCOME_UNKNOWN, "no answer came in time");
    }
    return new Failure(ErrorKind.OVERLOADED, "no server took the request", RETRY_AFTER_MS);
  }
}

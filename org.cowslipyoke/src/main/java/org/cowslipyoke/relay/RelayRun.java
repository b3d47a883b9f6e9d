package org.cowslipyoke.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request at backend servers: events in, the next step out, no thread and no
 * I/O. Keeps the promises that a request which must not be repeated runs at most once and that a
 * refusal that says "not run" is true. Not thread-safe.
 */
public final class RelayRun {

  /**
   * Attempts of one request in all. Bounds the tries that don't count for the route's limit because
   * nothing was sent or the wrong server answered.
   */
  static final int MAX_TRIES = 4;

  /** Pause that a caller is asked to make when no server takes its request, in milliseconds. */
  static final long REFUSED_RETRY_MS = 150;

  /** What follows from the end of an attempt. */
  public enum Next {
    /** Send the request to another server. */
    AGAIN,
    /** Pass the server's own failure on to the caller. */
    PASS_ON,
    /** Give the caller the final answer of {@link #failure()}. */
    FAIL,
    /** End the caller's connection, because a part of the answer was sent. */
    CUT
  }

  private final Route route;
  private final BooleanSupplier repeatBudget;
  private final Set<String> tried = new HashSet<>();
  private int tries;
  private int sent;
  private boolean mayHaveRun;
  private boolean begunAnswer;
  private @Nullable String lastEventId;

  /**
   * Creates the run of a request.
   *
   * @param repeatBudget takes one repeated arrival from the service's budget, false if it is used
   *     up
   */
  public RelayRun(Route route, @Nullable String lastEventId, BooleanSupplier repeatBudget) {
    this.route = route;
    this.lastEventId = lastEventId;
    this.repeatBudget = repeatBudget;
  }

  /** Records that the request is handed to a server. */
  public void sending(BackendServer server) {
    tries++;
    tried.add(server.incarnation());
  }

  /** Returns whether the request was at this server. */
  public boolean wasAt(BackendServer server) {
    return tried.contains(server.incarnation());
  }

  /** Records that a part of an answer was sent to the caller. */
  public void answerBegun() {
    begunAnswer = true;
  }

  /** Returns whether a part of an answer was sent to the caller. */
  public boolean isAnswerBegun() {
    return begunAnswer;
  }

  /** Records the id of the last event that the caller got whole. */
  public void eventSent(String id) {
    lastEventId = id;
  }

  /** Returns the last event that the caller has, null if none. */
  public @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Returns the number of attempts so far. */
  public int tries() {
    return tries;
  }

  /**
   * Decides what follows from the end of an attempt.
   *
   * @param others whether another server could take the request
   * @param timeLeft whether the caller waits long enough for another attempt
   */
  public Next after(AttemptEnd end, boolean others, boolean timeLeft) {
    boolean arrived = end != AttemptEnd.NOT_SENT;
    if (arrived && end != AttemptEnd.MISDIRECTED) {
      sent++;
    }
    boolean ran = end == AttemptEnd.BROKEN || end == AttemptEnd.FAILED;
    mayHaveRun |= ran;
    boolean allowed = !ran || route.isRetryable();
    boolean again =
        allowed
            && others
            && timeLeft
            && tries < MAX_TRIES
            && sent < route.maxAttempts()
            && (!arrived || repeatBudget.getAsBoolean());
    if (again) {
      return Next.AGAIN;
    }
    if (begunAnswer) {
      return Next.CUT;
    }
    return end == AttemptEnd.FAILED ? Next.PASS_ON : Next.FAIL;
  }

  /** Returns the final answer to a caller whose request no server answered. */
  public Failure failure() {
    if (mayHaveRun) {
      return Failure.of(ErrorKind.INCOMPLETE, "the server's answer broke off");
    }
    return new Failure(ErrorKind.OVERLOADED, "no server took the request", REFUSED_RETRY_MS);
  }

  /** Returns the final answer to a caller at the end of its time. */
  public Failure timeout(boolean inFlight) {
    if (mayHaveRun || inFlight) {
      return Failure.of(ErrorKind.OUTCOME_UNKNOWN, "no answer came in time");
    }
    return new Failure(ErrorKind.OVERLOADED, "no server took the request", REFUSED_RETRY_MS);
  }
}

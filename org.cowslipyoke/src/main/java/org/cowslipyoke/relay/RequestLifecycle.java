package org.cowslipyoke.relay;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Phase of one relayed request. The sender, the response, the timer, the caller's disconnect and
 * the shutdown act on a request from different threads; each of them is a transition here, and one
 * that loses does nothing. A request can thus be reported as "not run" only if it can no longer be
 * sent, and an error can't follow a response that has begun as if it were its end. Thread-safe.
 */
public final class RequestLifecycle {

  /** Phase of a request. */
  public enum Phase {
    /** No server has the request; it may be refused as "not run" unless an earlier attempt ran. */
    UNSENT,
    /** A server may be running the request. */
    SENT,
    /** Part of the response has been passed on to the caller. */
    RESPONDING,
    /** The caller has got its final response, or its connection was closed. */
    ENDED
  }

  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.UNSENT);

  /** Claims the request for sending; returns false if it must no longer be sent. */
  public boolean claimSend() {
    return phase.updateAndGet(p -> p == Phase.UNSENT ? Phase.SENT : p) != Phase.ENDED;
  }

  /** Claims the caller's response; returns false if nothing may be passed on. */
  public boolean claimResponse() {
    return phase.updateAndGet(p -> p == Phase.SENT ? Phase.RESPONDING : p) == Phase.RESPONDING;
  }

  /** Records that no server has the request any more; a response that has begun stays begun. */
  public void recordAttemptOver() {
    phase.updateAndGet(p -> p == Phase.SENT ? Phase.UNSENT : p);
  }

  /**
   * Ends the request; the one caller that gets a result has to give the caller its final response.
   *
   * @return the phase in which the request was ended; empty if it had ended before
   */
  public Optional<Phase> end() {
    Phase before = phase.getAndSet(Phase.ENDED);
    return before == Phase.ENDED ? Optional.empty() : Optional.of(before);
  }

  /** Returns whether the request has ended. */
  public boolean isEnded() {
    return phase.get() == Phase.ENDED;
  }
}

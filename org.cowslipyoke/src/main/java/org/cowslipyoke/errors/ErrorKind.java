package org.cowslipyoke.errors;

import java.util.Locale;

/**
 * The closed list of error kinds with the response that each one gives to a caller.
 *
 * <p>Every kind determines an HTTP status, the outcome of the request, and whether the caller may
 * retry the request.
 */
public enum ErrorKind {
  /** The request is malformed. */
  INVALID_REQUEST(400, Outcome.NOT_RUN, false),
  /** The bearer key is missing or unknown. */
  UNAUTHENTICATED(401, Outcome.NOT_RUN, false),
  /** The credential does not permit the action. */
  FORBIDDEN(403, Outcome.NOT_RUN, false),
  /** The model, route or section does not exist. */
  NOT_FOUND(404, Outcome.NOT_RUN, false),
  /** The request body, frame or document exceeds its size or depth limit. */
  TOO_LARGE(413, Outcome.NOT_RUN, false),
  /** The request body did not arrive in time; the request did not run. */
  REQUEST_TIMEOUT(408, Outcome.NOT_RUN, true),
  /** A configuration change conflicted with a concurrent change of the same section. */
  CONFLICT(409, Outcome.NOT_RUN, true),
  /** The idempotency key was used before with a different request. */
  KEY_REUSED(422, Outcome.NOT_RUN, false),
  /** Another request with the same idempotency key is still running. */
  IN_PROGRESS(409, Outcome.UNKNOWN, true),
  /** Earlier runs of the same request crashed backend servers; this submission did not run. */
  QUARANTINED(422, Outcome.NOT_RUN, false),
  /**
   * Connections to servers were lost during earlier runs of the same request; this submission did
   * not run. The request is held back temporarily and not permanently, because the only evidence
   * against it is lost connections.
   */
  SUSPECTED(503, Outcome.NOT_RUN, true),
  /** This request crashed the backend servers that ran it. */
  CRASHED_SERVERS(502, Outcome.UNKNOWN, false),
  /** The organisation exceeded its rate or concurrency limit. */
  RATE_LIMITED(429, Outcome.NOT_RUN, true),
  /** No server has capacity at the moment. */
  OVERLOADED(503, Outcome.NOT_RUN, true),
  /** The estimated time to the first token exceeds the deadline of the request. */
  DEADLINE_TOO_SHORT(503, Outcome.NOT_RUN, true),
  /** No live server is known for the model. */
  NO_SERVER(503, Outcome.NOT_RUN, true),
  /** The process is in graceful shutdown. */
  SHUTTING_DOWN(503, Outcome.NOT_RUN, true),
  /** The platform's table is unreachable, so a non-idempotent request cannot be claimed. */
  STORE_UNAVAILABLE(503, Outcome.NOT_RUN, true),
  /** The process has no configuration yet or is catching up after a pause. */
  NOT_READY(503, Outcome.NOT_RUN, true),
  /** The failure domain of the server was taken out of service. Used between daemons. */
  DOMAIN_OUT(503, Outcome.NOT_RUN, true),
  /** The backend server is leaving. Used between daemons. */
  SERVER_LEAVING(503, Outcome.NOT_RUN, true),
  /** The cold-start allowance of the server is exhausted. Used between daemons. */
  SERVER_COLD(503, Outcome.NOT_RUN, true),
  /** The server has a weight version other than the configured one. */
  WRONG_VERSION(503, Outcome.NOT_RUN, true),
  /** The software version that began the stream is not known, or no server has it. */
  STREAM_UNKNOWN(503, Outcome.NOT_RUN, true),
  /** Another suspect runs on the server. Used between daemons. */
  SUSPECT_BUSY(503, Outcome.NOT_RUN, true),
  /** The reservation is unknown or has expired. Used between daemons. */
  RESERVATION_EXPIRED(503, Outcome.NOT_RUN, true),
  /** The engine crashed while the request was in flight. Used between daemons. */
  ENGINE_CRASHED(502, Outcome.UNKNOWN, false),
  /** The backend server executed the request and reported an error. */
  BACKEND_FAILED(502, Outcome.RUN, false),
  /** It is unknown whether the non-idempotent request was executed. */
  OUTCOME_UNKNOWN(504, Outcome.UNKNOWN, false),
  /** The response stream was interrupted and could not be resumed. */
  INCOMPLETE(502, Outcome.UNKNOWN, false),
  /** The caller cancelled the request. */
  CANCELLED(499, Outcome.UNKNOWN, false),
  /** A peer violated the frame protocol. */
  PROTOCOL_ERROR(500, Outcome.UNKNOWN, false),
  /** An internal invariant was violated. */
  INTERNAL(500, Outcome.UNKNOWN, false);

  private final int status;
  private final Outcome outcome;
  private final boolean retryable;

  ErrorKind(int status, Outcome outcome, boolean retryable) {
    this.status = status;
    this.outcome = outcome;
    this.retryable = retryable;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns what a response of this kind states about the execution of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns whether the caller may retry the same request. */
  public boolean retryable() {
    return retryable;
  }

  /** Returns the name used in responses to callers, in lower case with underscores. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}

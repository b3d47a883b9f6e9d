package org.cowslipyoke.relay;

/** Determines whether the requests of a route may be retried. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Answered by a stream of events; may be retried only if the route is resumable. */
  STREAM
}

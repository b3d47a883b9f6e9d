package org.cowslipyoke.relay;

/** What a route allows to be repeated. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Answered by a stream of events; may be repeated only where the route is resumable. */
  STREAM
}

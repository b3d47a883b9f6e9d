package org.cowslipyoke.relay;

/** Result of an attempt to send a request to one server, as observed by this process. */
public enum AttemptEnd {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** The server stated that it did not run the request, for example because it is full. */
  REFUSED,
  /** A server of another incarnation or with other weights answered; it did not run the request. */
  MISDIRECTED,
  /** The server ran the request and reported a failure of its own. */
  FAILED,
  /** The request may have run, but no complete response was received. */
  BROKEN
}

package org.cowslipyoke.relay;

/** How an attempt at one server ended, as far as this process can tell. */
public enum AttemptEnd {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** The server stated that it did not run the request, for example because it is full. */
  REFUSED,
  /** Another incarnation or other weights answered at the address; nothing ran. */
  MISDIRECTED,
  /** The server ran the request and reported a failure of its own. */
  FAILED,
  /** The request may have run; no whole answer to it came. */
  BROKEN
}

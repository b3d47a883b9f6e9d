package org.cowslipyoke.util;

/** An answer that does not have the documented format. */
public final class MalformedResponseException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message must not quote the answer. */
  public MalformedResponseException(String message) {
    super(message);
  }
}

package org.cowslipyoke.errors;

/**
 * An error as a value; the left side of the {@code Either} results of this library.
 *
 * @param kind kind from the closed list
 * @param message explanation without prompt text, keys or names of other organisations
 * @param retryAfterMs hint in milliseconds after which a retry may succeed, 0 if there is none
 */
public record Failure(ErrorKind kind, String message, long retryAfterMs) {

  /** Returns a failure without a retry hint. */
  public static Failure of(ErrorKind kind, String message) {
    return new Failure(kind, message, 0);
  }

  /** Returns the outcome that the kind states. */
  public Outcome outcome() {
    return kind.outcome();
  }
}

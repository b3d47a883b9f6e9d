package org.cowslipyoke.errors;

import java.util.Locale;

/** What is known about the execution of a request that ended with an error. */
public enum Outcome {
  /** The backend server executed the request. */
  RUN,
  /** No backend server executed any part of the request. */
  NOT_RUN,
  /** The request may have been executed, in whole or in part. */
  UNKNOWN;

  /**
   * Returns the name used in responses to callers: {@code run}, {@code not_run}, {@code unknown}.
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}

package org.cowslipyoke.bench;

import java.util.List;

/**
 * What a caller got for one request.
 *
 * @param status HTTP status, 0 if there was no response
 * @param complete whether the stream ended regularly
 * @param ttftMs milliseconds from the send to the first piece, -1 if none came
 * @param gapsMs milliseconds between pieces
 * @param reusedTokens prompt tokens that the engine did not compute, -1 if not reported
 * @param errorKind empty if there was no error
 * @param outcome {@code run}, {@code not_run}, {@code unknown}; empty if the caller was not told
 */
record Answer(
    int status,
    boolean complete,
    String text,
    long ttftMs,
    List<Long> gapsMs,
    long reusedTokens,
    String errorKind,
    String outcome) {

  /** Returns whether the caller has the whole answer. */
  boolean isComplete() {
    return status == 200 && complete && errorKind.isEmpty();
  }

  @Override
  public String toString() {
    return "status "
        + status
        + (errorKind.isEmpty() ? "" : " " + errorKind + " (" + outcome + ")")
        + (complete ? "" : " incomplete");
  }
}

package org.cowslipyoke.pgm.story;

import java.util.List;

/**
 * Outcome of a request and its most likely cause.
 *
 * @param earlier endings of the earlier submissions
 * @param last ending of the last submission
 * @param finding most likely cause of the last ending
 * @param notRetried whether the entry gave up although there was time for another attempt
 * @param answersLogged whether these logs contain a line for each complete response
 */
public record Conclusion(
    List<Ending> earlier, Ending last, Finding finding, boolean notRetried, boolean answersLogged) {

  /**
   * Ending of a submission.
   *
   * @param vm VM that handled the submission
   * @param line last log line of the submission
   */
  public record Ending(String vm, Outcome outcome, LogLine line) {}
}

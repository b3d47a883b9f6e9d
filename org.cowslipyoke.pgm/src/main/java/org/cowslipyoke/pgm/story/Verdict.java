package org.cowslipyoke.pgm.story;

import java.util.List;

/**
 * What a story comes to.
 *
 * @param earlier earlier visits of the request and their outcomes
 * @param last the last visit and its outcome
 * @param unrepeated whether the entry gave up with time left
 * @param answersLogged whether whole answers leave lines in these logs
 */
public record Verdict(
    List<Ending> earlier, Ending last, Finding finding, boolean unrepeated, boolean answersLogged) {

  /**
   * How a visit ended.
   *
   * @param line its last line
   */
  public record Ending(String vm, Outcome outcome, LogLine line) {}
}

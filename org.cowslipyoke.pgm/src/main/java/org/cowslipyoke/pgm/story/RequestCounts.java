package org.cowslipyoke.pgm.story;

import java.util.Map;
import java.util.TreeMap;

/** Counts the results of the other requests that one VM sent to one server around the same time. */
public final class RequestCounts {

  private final String vm;
  private final String server;
  private final Map<String, Integer> ends = new TreeMap<>();
  private int firstTokens;
  private int answers;

  RequestCounts(String vm, String server) {
    this.vm = vm;
    this.server = server;
  }

  void add(LogLine line) {
    switch (line.event()) {
      case ATTEMPT_ENDED -> ends.merge(line.field("end"), 1, Integer::sum);
      case FIRST_TOKEN -> firstTokens++;
      case ANSWER_PASSED_ON -> answers++;
      default -> {}
    }
  }

  /** Returns the VM that sent the requests. */
  public String vm() {
    return vm;
  }

  /** Returns the id of the server. */
  public String server() {
    return server;
  }

  /** Returns the number of attempts without a complete response, by their field {@code end}. */
  public Map<String, Integer> ends() {
    return ends;
  }

  /** Returns the number of failed attempts without refusals, which a full server sends, too. */
  int failed() {
    return ends.entrySet().stream()
        .filter(e -> !e.getKey().equals("REFUSED"))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** Returns the number of requests with a response; a stream logs up to two lines. */
  public int answered() {
    return Math.max(firstTokens, answers);
  }
}

package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One submission of the request to a VM. A caller that sends the request again under the same id
 * makes another submission.
 *
 * @param lines log lines of the submission, ordered by time; at least one
 */
record Submission(String vm, List<LogLine> lines) {

  /** Splits the lines of a request into submissions, ordered by their last lines. */
  static List<Submission> split(List<LogLine> lines, TimeAxis axis) {
    Map<String, Submission> open = new HashMap<>();
    List<Submission> all = new ArrayList<>();
    for (LogLine l : lines) {
      Submission v = open.get(l.vm());
      if (v == null || v.isOverBefore(l)) {
        v = new Submission(l.vm(), new ArrayList<>());
        open.put(l.vm(), v);
        all.add(v);
      }
      v.lines.add(l);
    }
    all.sort(Comparator.comparingLong(v -> axis.of(v.last())));
    return all;
  }

  private boolean isOverBefore(LogLine next) {
    boolean failurePassed = last().field("next").equals("PASS_ON");
    return last().event().isEnd() || (failurePassed && !next.event().isEnd());
  }

  LogLine last() {
    return lines.get(lines.size() - 1);
  }

  /** Returns the line about the end of the last attempt. */
  Optional<LogLine> lastAttempt() {
    return lastLine(Event.ATTEMPT_ENDED);
  }

  Optional<LogLine> lastLine(Event event) {
    return lines.stream().filter(l -> l.event() == event).reduce((a, b) -> b);
  }

  /** Returns the server that was named last, empty if none was. */
  String server() {
    return lines.stream().map(LogLine::server).filter(s -> !s.isEmpty()).reduce("", (a, b) -> b);
  }

  /** Returns whether no line reports how the submission ended. */
  boolean isEndMissing() {
    return !last().event().isEnd() && !last().field("next").equals("PASS_ON");
  }
}

package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One arrival of the request at a VM. A caller that sends a request again under the same id makes
 * another visit.
 *
 * @param lines its lines in order of time, at least one
 */
record Visit(String vm, List<LogLine> lines) {

  /** Splits the lines of a request into visits, the one that ended last comes last. */
  static List<Visit> of(List<LogLine> lines, TimeAxis axis) {
    Map<String, Visit> open = new HashMap<>();
    List<Visit> all = new ArrayList<>();
    for (LogLine l : lines) {
      Visit v = open.get(l.vm());
      if (v == null || v.isOverBefore(l)) {
        v = new Visit(l.vm(), new ArrayList<>());
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

  /** Returns the end of the last attempt. */
  Optional<LogLine> lastAttempt() {
    return lastOf(Event.ATTEMPT_ENDED);
  }

  Optional<LogLine> lastOf(Event event) {
    return lines.stream().filter(l -> l.event() == event).reduce((a, b) -> b);
  }

  /** Returns the server that was last named, empty if none. */
  String server() {
    return lines.stream().map(LogLine::server).filter(s -> !s.isEmpty()).reduce("", (a, b) -> b);
  }

  /** Returns whether no line states how the visit ended. */
  boolean isOpen() {
    return !last().event().isEnd() && !last().field("next").equals("PASS_ON");
  }
}

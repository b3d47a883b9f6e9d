package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.pgm.story.Fact;
import org.cowslipyoke.pgm.story.Finding;
import org.cowslipyoke.pgm.story.LogLine;
import org.cowslipyoke.pgm.story.Outcome;
import org.cowslipyoke.pgm.story.RequestSearch;
import org.cowslipyoke.pgm.story.Story;
import org.cowslipyoke.pgm.story.Tally;
import org.cowslipyoke.pgm.story.TimeAxis;
import org.cowslipyoke.pgm.story.Verdict;

/** The words and the JSON of a story. */
final class StoryReport {

  /** Longest message that is printed, in characters. */
  private static final int MAX_MESSAGE = 400;

  private final RequestSearch search;
  private final long unread;

  StoryReport(RequestSearch search, long unread) {
    this.search = search;
    this.unread = unread;
  }

  /** States what was read for a request that is not in the logs. */
  List<String> notFound() {
    List<String> lines = new ArrayList<>();
    lines.add(String.format(Texts.NOT_IN_LOGS, search.request(), search.read()));
    if (!search.isAnswersLogged()) {
      lines.add(Texts.ANSWERS_LEAVE_NONE);
    }
    addUnread(lines);
    TimeAxis axis = search.axis();
    search
        .covered()
        .forEach(
            (vm, c) ->
                lines.add(
                    String.format(
                        Texts.COVERED,
                        vm,
                        time(axis, c.first()),
                        time(axis, c.last()),
                        time(axis, c.gapFrom()),
                        time(axis, c.gapTo()))));
    return lines;
  }

  private static String time(TimeAxis axis, LogLine line) {
    return axis.format(axis == TimeAxis.PREFIX ? line.prefixMs() : line.wallMs());
  }

  void print(Output out, Story story, Verdict verdict, int shown, long forgotten) {
    List<String> lines = new ArrayList<>();
    String axis = story.axis() == TimeAxis.PREFIX ? Texts.PREFIX_TIMES : Texts.CLOCK_TIMES;
    lines.add(String.format(Texts.STORY, story.request(), story.lines().size(), axis));
    addUnread(lines);
    if (forgotten > 0) {
      lines.add(String.format(Texts.FORGOTTEN, forgotten));
    }
    long hidden = story.droppedFacts() + Math.max(0, story.facts().size() - shown);
    if (hidden > 0) {
      lines.add(String.format(Texts.HIDDEN, hidden));
    }
    if (story.cutLines() > 0) {
      lines.add(String.format(Texts.CUT_LINES, story.cutLines()));
    }
    List<Row> rows = rows(story, shown);
    int width = rows.stream().mapToInt(r -> r.vm().length()).max().orElse(0);
    story.standing().forEach(f -> lines.add(standing(story, f)));
    rows.forEach(r -> lines.add(r.text(story, width)));
    story.tallies().forEach(t -> lines.add(tally(t)));
    if (story.alike() > 0) {
      LogLine l = verdict.last().line();
      String route = l.field("route").isEmpty() ? "" : " route=" + l.field("route");
      lines.add(String.format(Texts.ALIKE, story.alike(), l.field("kind"), route));
    }
    String conclusion = conclusion(verdict);
    lines.add(conclusion);
    out.result(json(story, verdict, rows, conclusion), lines);
  }

  private void addUnread(List<String> lines) {
    if (unread > 0) {
      lines.add(String.format(Texts.UNREAD, unread));
    }
  }

  /**
   * A line of the story.
   *
   * @param own whether it names the request
   */
  private record Row(long atMs, String vm, boolean own, String message, int count, long lastMs) {

    String text(Story story, int width) {
      String m = message;
      if (m.length() > MAX_MESSAGE) {
        m = m.substring(0, MAX_MESSAGE) + "...";
      }
      String again =
          count > 1 ? String.format(Texts.REPEATED, count, story.axis().format(lastMs)) : "";
      String name = vm + " ".repeat(width - vm.length());
      return String.format(
          "%12s %s %s  %s%s", story.axis().format(atMs), own ? ">" : " ", name, m, again);
    }
  }

  /** The lines of the request and those beside it that are nearest to its end. */
  private static List<Row> rows(Story story, int shown) {
    List<Row> rows = new ArrayList<>();
    for (LogLine l : story.lines()) {
      long at = story.timeOf(l);
      rows.add(new Row(at, l.vm(), true, l.message(), 1, at));
    }
    story.facts().stream()
        .sorted(Comparator.comparingLong(f -> Math.abs(f.lastMs() - story.endMs())))
        .limit(shown)
        .map(
            f -> new Row(f.atMs(), f.line().vm(), false, f.line().message(), f.count(), f.lastMs()))
        .forEach(rows::add);
    rows.sort(Comparator.comparingLong(Row::atMs));
    return rows;
  }

  private static String standing(Story story, Fact f) {
    return String.format(
        Texts.STANDING, story.axis().format(f.atMs()), f.line().vm(), f.line().message());
  }

  private static String tally(Tally t) {
    int ended = t.ends().values().stream().mapToInt(Integer::intValue).sum();
    return String.format(Texts.TALLY, t.server(), t.vm(), t.answered(), ended)
        + (ended == 0 ? "" : " " + t.ends());
  }

  private static String conclusion(Verdict v) {
    StringBuilder b = new StringBuilder();
    for (Verdict.Ending e : v.earlier()) {
      b.append(outcome(e)).append(Texts.THEN);
    }
    b.append(outcome(v.last()));
    b.append(String.format(lead(v), cause(v.finding())));
    if (v.unrepeated()) {
      b.append(Texts.UNREPEATED);
    }
    if (v.last().outcome() == Outcome.NOT_TOLD && !v.answersLogged()) {
      b.append(Texts.NO_ANSWER_LINES);
    }
    return b.append('.').toString();
  }

  private static String lead(Verdict v) {
    return switch (v.finding().cause()) {
      case NOTHING_FAILED, UNFRAMED, UNFRAMED_SERVER_GONE -> Texts.NO_CAUSE;
      default -> v.last().outcome() == Outcome.ANSWERED ? Texts.ATTEMPT_CAUSE : Texts.CAUSE;
    };
  }

  private static String outcome(Verdict.Ending e) {
    LogLine l = e.line();
    String format = Texts.OUTCOMES.getOrDefault(e.outcome(), "%s");
    return switch (e.outcome()) {
      case ANSWERED ->
          String.format(
              format,
              e.vm(),
              stated(l, "status"),
              stated(l, "bytes"),
              l.server(),
              stated(l, "tookMs"),
              stated(l, "tries"));
      case FAILURE_PASSED_ON -> String.format(format, e.vm(), l.server(), stated(l, "tries"));
      case REFUSED ->
          String.format(format, e.vm(), status(l), stated(l, "kind"), stated(l, "reason"));
      case OWN_ANSWER ->
          String.format(
              format,
              e.vm(),
              status(l),
              stated(l, "kind"),
              stated(l, "reason"),
              stated(l, "elapsedMs"),
              stated(l, "tries"));
      case CUT ->
          String.format(
              format, e.vm(), stated(l, "elapsedMs"), stated(l, "reason"), stated(l, "received"));
      case CALLER_LEFT ->
          String.format(format, e.vm(), stated(l, "elapsedMs"), stated(l, "received"));
      case BODY_NOT_READ -> String.format(format, e.vm(), stated(l, "reason"));
      case ENTRY_FAILED, NOT_TOLD -> String.format(format, e.vm());
    };
  }

  private static String stated(LogLine l, String field) {
    String v = l.field(field);
    return v.isEmpty() ? Texts.NOT_STATED : v;
  }

  private static String status(LogLine l) {
    try {
      return String.valueOf(ErrorKind.valueOf(l.field("kind")).status());
    } catch (IllegalArgumentException e) {
      return Texts.NOT_STATED;
    }
  }

  private static String cause(Finding f) {
    String format = Texts.CAUSES.getOrDefault(f.cause(), f.cause().name());
    return String.format(format, f.values().toArray());
  }

  private ObjectNode json(Story story, Verdict v, List<Row> rows, String conclusion) {
    ObjectNode n = JsonNodeFactory.instance.objectNode();
    n.put("request", story.request()).put("times", story.axis().name().toLowerCase(Locale.ROOT));
    n.put("linesRead", search.read()).put("linesNotUnderstood", unread);
    n.put("outcome", v.last().outcome().name()).put("cause", v.finding().cause().name());
    n.put("conclusion", conclusion);
    ArrayNode array = n.putArray("lines");
    for (Row r : rows) {
      ObjectNode o = array.addObject().put("atMs", r.atMs()).put("vm", r.vm());
      o.put("own", r.own()).put("message", r.message()).put("count", r.count());
    }
    n.put("alike", story.alike());
    ArrayNode tallies = n.putArray("otherRequests");
    for (Tally t : story.tallies()) {
      ObjectNode o = tallies.addObject().put("server", t.server()).put("vm", t.vm());
      o.put("answered", t.answered());
      ObjectNode ends = o.putObject("ended");
      for (Map.Entry<String, Integer> e : t.ends().entrySet()) {
        ends.put(e.getKey(), e.getValue());
      }
    }
    return n;
  }
}

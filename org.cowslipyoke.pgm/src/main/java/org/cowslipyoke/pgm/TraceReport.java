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
import org.cowslipyoke.pgm.story.Conclusion;
import org.cowslipyoke.pgm.story.ContextLine;
import org.cowslipyoke.pgm.story.Finding;
import org.cowslipyoke.pgm.story.LogLine;
import org.cowslipyoke.pgm.story.Outcome;
import org.cowslipyoke.pgm.story.RequestCounts;
import org.cowslipyoke.pgm.story.RequestSearch;
import org.cowslipyoke.pgm.story.RequestTrace;
import org.cowslipyoke.pgm.story.TimeAxis;

/** Formats a request trace and its conclusion as text and as JSON. */
final class TraceReport {

  /** Maximum number of characters of a message that are printed. */
  private static final int MAX_MESSAGE_CHARS = 400;

  private final RequestSearch search;
  private final long unparsedLines;

  TraceReport(RequestSearch search, long unparsedLines) {
    this.search = search;
    this.unparsedLines = unparsedLines;
  }

  /** Returns the lines that describe what was searched when the logs do not contain the request. */
  List<String> notFound() {
    List<String> lines = new ArrayList<>();
    lines.add(String.format(Messages.NOT_IN_LOGS, search.request(), search.linesRead()));
    if (!search.isAnswersLogged()) {
      lines.add(Messages.MAYBE_ANSWERED_UNLOGGED);
    }
    addUnparsedLines(lines);
    TimeAxis axis = search.axis();
    search
        .coverage()
        .forEach(
            (vm, c) ->
                lines.add(
                    String.format(
                        Messages.VM_COVERAGE,
                        vm,
                        time(axis, c.first()),
                        time(axis, c.last()),
                        time(axis, c.beforeGap()),
                        time(axis, c.afterGap()))));
    return lines;
  }

  private static String time(TimeAxis axis, LogLine line) {
    return axis.format(axis == TimeAxis.PREFIX ? line.prefixMs() : line.wallMs());
  }

  void print(Output out, RequestTrace trace, Conclusion conclusion, int limit, long droppedLines) {
    List<String> lines = new ArrayList<>();
    String axis = trace.axis() == TimeAxis.PREFIX ? Messages.PREFIX_TIMES : Messages.CLOCK_TIMES;
    lines.add(String.format(Messages.TRACE_HEADER, trace.request(), trace.lines().size(), axis));
    addUnparsedLines(lines);
    if (droppedLines > 0) {
      lines.add(String.format(Messages.STREAM_LINES_DROPPED, droppedLines));
    }
    long omitted = trace.droppedContextLines() + Math.max(0, trace.contextLines().size() - limit);
    if (omitted > 0) {
      lines.add(String.format(Messages.CONTEXT_LINES_OMITTED, omitted));
    }
    if (trace.omittedLines() > 0) {
      lines.add(String.format(Messages.REQUEST_LINES_OMITTED, trace.omittedLines()));
    }
    List<Row> rows = rows(trace, limit);
    int width = rows.stream().mapToInt(r -> r.vm().length()).max().orElse(0);
    trace.unresolvedLosses().forEach(f -> lines.add(unresolvedLoss(trace, f)));
    rows.forEach(r -> lines.add(r.text(trace, width)));
    trace.requestCounts().forEach(t -> lines.add(requestCounts(t)));
    if (trace.sameEndings() > 0) {
      LogLine l = conclusion.last().line();
      String route = l.field("route").isEmpty() ? "" : " route=" + l.field("route");
      lines.add(String.format(Messages.SAME_ENDINGS, trace.sameEndings(), l.field("kind"), route));
    }
    String conclusionText = conclusionText(conclusion);
    lines.add(conclusionText);
    out.printResult(json(trace, conclusion, rows, conclusionText), lines);
  }

  private void addUnparsedLines(List<String> lines) {
    if (unparsedLines > 0) {
      lines.add(String.format(Messages.UNPARSED_LINES, unparsedLines));
    }
  }

  /**
   * One printed log line, or several with the same message.
   *
   * @param atMs time of the first line
   * @param own whether the line names the request
   * @param count number of lines with the message
   * @param lastMs time of the last line
   */
  private record Row(long atMs, String vm, boolean own, String message, int count, long lastMs) {

    String text(RequestTrace trace, int width) {
      String m = message;
      if (m.length() > MAX_MESSAGE_CHARS) {
        m = m.substring(0, MAX_MESSAGE_CHARS) + "...";
      }
      String repeats =
          count > 1 ? String.format(Messages.REPEATED, count, trace.axis().format(lastMs)) : "";
      String name = vm + " ".repeat(width - vm.length());
      return String.format(
          "%12s %s %s  %s%s", trace.axis().format(atMs), own ? ">" : " ", name, m, repeats);
    }
  }

  /** Returns the lines of the request and the context lines nearest to its end, ordered by time. */
  private static List<Row> rows(RequestTrace trace, int limit) {
    List<Row> rows = new ArrayList<>();
    for (LogLine l : trace.lines()) {
      long at = trace.timeOf(l);
      rows.add(new Row(at, l.vm(), true, l.message(), 1, at));
    }
    trace.contextLines().stream()
        .sorted(Comparator.comparingLong(f -> Math.abs(f.lastMs() - trace.endMs())))
        .limit(limit)
        .map(
            f -> new Row(f.atMs(), f.line().vm(), false, f.line().message(), f.count(), f.lastMs()))
        .forEach(rows::add);
    rows.sort(Comparator.comparingLong(Row::atMs));
    return rows;
  }

  private static String unresolvedLoss(RequestTrace trace, ContextLine f) {
    return String.format(
        Messages.UNRESOLVED_LOSS, trace.axis().format(f.atMs()), f.line().vm(), f.line().message());
  }

  private static String requestCounts(RequestCounts t) {
    int ended = t.ends().values().stream().mapToInt(Integer::intValue).sum();
    return String.format(Messages.REQUEST_COUNTS, t.server(), t.vm(), t.answered(), ended)
        + (ended == 0 ? "" : " " + t.ends());
  }

  private static String conclusionText(Conclusion v) {
    StringBuilder b = new StringBuilder();
    for (Conclusion.Ending e : v.earlier()) {
      b.append(outcome(e)).append(Messages.THEN);
    }
    b.append(outcome(v.last()));
    b.append(String.format(causeFormat(v), cause(v.finding())));
    if (v.notRetried()) {
      b.append(Messages.NOT_RETRIED);
    }
    if (v.last().outcome() == Outcome.NOT_TOLD && !v.answersLogged()) {
      b.append(Messages.ANSWERS_NOT_LOGGED);
    }
    return b.append('.').toString();
  }

  private static String causeFormat(Conclusion v) {
    return switch (v.finding().cause()) {
      case NOTHING_FAILED, UNFRAMED, UNFRAMED_SERVER_GONE -> Messages.REMARK;
      default -> v.last().outcome() == Outcome.ANSWERED ? Messages.ATTEMPT_CAUSE : Messages.CAUSE;
    };
  }

  private static String outcome(Conclusion.Ending e) {
    LogLine l = e.line();
    String format = Messages.OUTCOMES.getOrDefault(e.outcome(), "%s");
    return switch (e.outcome()) {
      case ANSWERED ->
          String.format(
              format,
              e.vm(),
              fieldOrNotStated(l, "status"),
              fieldOrNotStated(l, "bytes"),
              l.server(),
              fieldOrNotStated(l, "tookMs"),
              fieldOrNotStated(l, "tries"));
      case FAILURE_PASSED_ON ->
          String.format(format, e.vm(), l.server(), fieldOrNotStated(l, "tries"));
      case REFUSED ->
          String.format(
              format,
              e.vm(),
              status(l),
              fieldOrNotStated(l, "kind"),
              fieldOrNotStated(l, "reason"));
      case OWN_ANSWER ->
          String.format(
              format,
              e.vm(),
              status(l),
              fieldOrNotStated(l, "kind"),
              fieldOrNotStated(l, "reason"),
              fieldOrNotStated(l, "elapsedMs"),
              fieldOrNotStated(l, "tries"));
      case CUT ->
          String.format(
              format,
              e.vm(),
              fieldOrNotStated(l, "elapsedMs"),
              fieldOrNotStated(l, "reason"),
              fieldOrNotStated(l, "received"));
      case CALLER_LEFT ->
          String.format(
              format, e.vm(), fieldOrNotStated(l, "elapsedMs"), fieldOrNotStated(l, "received"));
      case BODY_NOT_READ -> String.format(format, e.vm(), fieldOrNotStated(l, "reason"));
      case ENTRY_FAILED, NOT_TOLD -> String.format(format, e.vm());
    };
  }

  private static String fieldOrNotStated(LogLine l, String field) {
    String v = l.field(field);
    return v.isEmpty() ? Messages.NOT_STATED : v;
  }

  private static String status(LogLine l) {
    try {
      return String.valueOf(ErrorKind.valueOf(l.field("kind")).status());
    } catch (IllegalArgumentException e) {
      return Messages.NOT_STATED;
    }
  }

  private static String cause(Finding f) {
    String format = Messages.CAUSES.getOrDefault(f.cause(), f.cause().name());
    return String.format(format, f.values().toArray());
  }

  private ObjectNode json(RequestTrace trace, Conclusion v, List<Row> rows, String conclusionText) {
    ObjectNode n = JsonNodeFactory.instance.objectNode();
    n.put("request", trace.request()).put("times", trace.axis().name().toLowerCase(Locale.ROOT));
    n.put("linesRead", search.linesRead()).put("linesNotUnderstood", unparsedLines);
    n.put("outcome", v.last().outcome().name()).put("cause", v.finding().cause().name());
    n.put("conclusion", conclusionText);
    ArrayNode array = n.putArray("lines");
    for (Row r : rows) {
      ObjectNode o = array.addObject().put("atMs", r.atMs()).put("vm", r.vm());
      o.put("own", r.own()).put("message", r.message()).put("count", r.count());
    }
    n.put("alike", trace.sameEndings());
    ArrayNode tallies = n.putArray("otherRequests");
    for (RequestCounts t : trace.requestCounts()) {
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

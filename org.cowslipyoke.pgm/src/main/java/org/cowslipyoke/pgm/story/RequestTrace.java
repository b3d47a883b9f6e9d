package org.cowslipyoke.pgm.story;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Log lines of one request from all processes, with the context lines around it. */
public final class RequestTrace {

  /**
   * Times of a trace, in milliseconds on its time axis.
   *
   * @param contextFromMs beginning of the context window
   * @param beginMs beginning of the request according to its lines
   * @param endMs time of the last line of the request
   */
  record Span(long contextFromMs, long beginMs, long endMs) {}

  private final RequestSearch search;
  private final List<LogLine> lines;
  private final List<Submission> submissions;
  private final Span span;
  private final List<ContextLine> unresolvedLosses;
  private final List<ContextLine> contextLines;
  private final long droppedContextLines;
  private final List<RequestCounts> requestCounts;
  private final long sameEndings;
  private final LogGaps logGaps;

  RequestTrace(
      RequestSearch search,
      List<LogLine> lines,
      List<Submission> submissions,
      Span span,
      List<ContextLine> unresolvedLosses,
      List<ContextLine> contextLines,
      long droppedContextLines,
      List<RequestCounts> requestCounts,
      long sameEndings,
      LogGaps logGaps) {
    this.search = search;
    this.lines = lines;
    this.submissions = submissions;
    this.span = span;
    this.unresolvedLosses = unresolvedLosses;
    this.contextLines = contextLines;
    this.droppedContextLines = droppedContextLines;
    this.requestCounts = requestCounts;
    this.sameEndings = sameEndings;
    this.logGaps = logGaps;
  }

  /** Returns the id of the request. */
  public String request() {
    return search.request();
  }

  /** Returns the time axis by which lines are ordered. */
  public TimeAxis axis() {
    return search.axis();
  }

  /** Returns the time of a line on the time axis of the trace. */
  public long timeOf(LogLine line) {
    return axis().of(line);
  }

  /** Returns the lines of the request, ordered by time. */
  public List<LogLine> lines() {
    return lines;
  }

  /** Returns the number of lines of the request that were omitted. */
  public long omittedLines() {
    return search.omittedLines();
  }

  /** Returns the beginning of the request according to its lines. */
  public long beginMs() {
    return span.beginMs();
  }

  /** Returns the time of the last line of the request. */
  public long endMs() {
    return span.endMs();
  }

  /** Returns the losses from before the window that no later line before the window resolved. */
  public List<ContextLine> unresolvedLosses() {
    return unresolvedLosses;
  }

  /** Returns the context lines in the window, ordered by time. */
  public List<ContextLine> contextLines() {
    return contextLines;
  }

  /** Returns the number of context lines that were dropped. */
  public long droppedContextLines() {
    return droppedContextLines;
  }

  /** Returns the counts of other requests at the servers that the request was sent to. */
  public List<RequestCounts> requestCounts() {
    Set<String> servers = lines.stream().map(LogLine::server).collect(Collectors.toSet());
    return requestCounts.stream().filter(t -> servers.contains(t.server())).toList();
  }

  /** Returns how many other requests ended with the same event, kind and route around that time. */
  public long sameEndings() {
    return sameEndings;
  }

  List<RequestCounts> allRequestCounts() {
    return requestCounts;
  }

  List<Submission> submissions() {
    return submissions;
  }

  Submission lastSubmission() {
    return submissions.get(submissions.size() - 1);
  }

  boolean isAnswersLogged() {
    return search.isAnswersLogged();
  }

  String serverAt(String address) {
    return search.serverAt(address);
  }

  Optional<LogGaps.Gap> longestLogGap(String vm, long beginMs, long endMs) {
    return logGaps.longest(vm, beginMs, endMs);
  }

  /** Returns the time of the last line of a VM, the end of the request if it wrote none. */
  long lastLineMs(String vm) {
    RequestSearch.Coverage c = search.coverage().get(vm);
    return c == null ? endMs() : timeOf(c.last());
  }

  /** Returns all context lines, those before the window first. */
  Stream<ContextLine> allContextLines() {
    return Stream.concat(unresolvedLosses.stream(), contextLines.stream());
  }

  /** Returns the last context line that matches, up to a time. */
  Optional<ContextLine> lastContextLine(Predicate<ContextLine> what, long upToMs) {
    return allContextLines().filter(f -> f.atMs() <= upToMs).filter(what).reduce((a, b) -> b);
  }

  /** Returns the first context line that matches, after a time. */
  Optional<ContextLine> firstContextLine(Predicate<ContextLine> what, long afterMs) {
    return allContextLines().filter(f -> f.atMs() > afterMs).filter(what).findFirst();
  }
}

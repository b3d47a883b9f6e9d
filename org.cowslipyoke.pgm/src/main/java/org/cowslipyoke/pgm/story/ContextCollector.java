package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Second pass over the logs: collects context lines around a request that a {@link RequestSearch}
 * found, and counts other requests. The lines of each VM must be passed in the order in which they
 * were written.
 */
public final class ContextCollector {

  /** Context after the request; entries detect some seconds late that a server has gone. */
  static final long CONTEXT_AFTER_MS = 5_000;

  /** Context after the last line of a request whose end no line reports. */
  static final long MISSING_END_AFTER_MS = 60_000;

  /** Time before and after the request in which other requests are counted. */
  static final long COUNT_MARGIN_MS = 2_000;

  private static final int MAX_REQUEST_COUNTS = 1_024;
  private static final int MAX_LINES_BEFORE_WINDOW = 1_024;

  private final RequestSearch search;
  private final TimeAxis axis;
  private final List<LogLine> lines;
  private final List<Submission> submissions;
  private final Set<String> vms;
  private final Set<String> servers;
  private final boolean includesAllServers;
  private final long beginMs;
  private final long endMs;
  private final long fromMs;
  private final long untilMs;
  private final ContextLines contextLines;
  private final Map<String, ContextLine> beforeWindow = new LinkedHashMap<>();
  private final Map<String, RequestCounts> requestCounts = new TreeMap<>();
  private final LogGaps logGaps;
  private long sameEndings;

  /**
   * Creates a collector for the request of a search.
   *
   * @param search completed search that found the request
   * @param windowMs length of the context before the request in milliseconds
   */
  public ContextCollector(RequestSearch search, long windowMs) {
    this.search = search;
    this.axis = search.axis();
    this.lines = search.lines();
    this.submissions = Submission.split(lines, axis);
    this.vms = lines.stream().map(LogLine::vm).collect(Collectors.toSet());
    this.servers =
        lines.stream().map(LogLine::server).filter(s -> !s.isEmpty()).collect(Collectors.toSet());
    Submission last = submissions.get(submissions.size() - 1);
    this.includesAllServers = isEndWithoutServer(last);
    this.beginMs = lines.stream().mapToLong(l -> axis.of(l) - l.elapsedMs()).min().orElse(0);
    this.endMs = axis.of(lines.get(lines.size() - 1));
    this.fromMs = beginMs - windowMs;
    this.untilMs = endMs + (last.isEndMissing() ? MISSING_END_AFTER_MS : CONTEXT_AFTER_MS);
    this.contextLines = new ContextLines(endMs);
    this.logGaps = new LogGaps(vms, fromMs, untilMs);
  }

  /**
   * Returns whether the submission ended without a server, or its lines do not name the server.
   * Lines about all servers are then context.
   */
  private static boolean isEndWithoutServer(Submission v) {
    return switch (v.last().field("kind")) {
      case "NO_SERVER", "DEADLINE_TOO_SHORT", "OVERLOADED" -> true;
      case "OUTCOME_UNKNOWN" -> v.server().isEmpty();
      default -> false;
    };
  }

  /** Accepts the next line. */
  public void accept(LogLine line) {
    long ms = axis.of(line);
    logGaps.accept(line.vm(), ms);
    if (line.isOfRequest(search.request())) {
      return;
    }
    switch (line.event().scope()) {
      case VM -> acceptVmLine(line, ms);
      case SERVER -> acceptServerLine(line, ms);
      case REQUEST -> countOtherRequest(line, ms);
      default -> {}
    }
  }

  private void acceptVmLine(LogLine line, long ms) {
    if (vms.contains(line.vm())) {
      if (line.event() == Event.STARTED && ms < fromMs) {
        beforeWindow.values().removeIf(f -> f.line().vm().equals(line.vm()));
      }
      addContext(line, ms, untilMs);
    }
  }

  private void acceptServerLine(LogLine line, long ms) {
    boolean cache = line.event() == Event.CACHE_LOST || line.event() == Event.CACHE_REGAINED;
    String server = cache ? search.serverAt(line.field("address")) : line.server();
    boolean named = servers.contains(server);
    boolean order = line.event() == Event.ORDER_GIVEN;
    boolean change =
        line.event() == Event.SERVER_CHANGED || new ContextLine(line, ms, 1, ms).isLoss();
    boolean ofAnyServer =
        includesAllServers && !server.isEmpty() && (order || (change && vms.contains(line.vm())));
    // A line about a recovered server replaces the loss that was logged before the window.
    boolean replaces =
        ms < fromMs && beforeWindow.containsKey(new ContextLine(line, ms, 1, ms).subject());
    if (named || ofAnyServer || replaces) {
      boolean mayBeLate = named || new ContextLine(line, ms, 1, ms).isLoss();
      addContext(line, ms, mayBeLate ? endMs + CONTEXT_AFTER_MS : endMs);
    }
  }

  private void addContext(LogLine line, long ms, long toMs) {
    if (ms < fromMs) {
      ContextLine f = new ContextLine(line, ms, 1, ms);
      if (beforeWindow.size() < MAX_LINES_BEFORE_WINDOW || beforeWindow.containsKey(f.subject())) {
        beforeWindow.put(f.subject(), f);
      }
    } else if (ms <= toMs) {
      contextLines.add(line, ms);
    }
  }

  private void countOtherRequest(LogLine line, long ms) {
    if (ms < beginMs - COUNT_MARGIN_MS || ms > endMs + COUNT_MARGIN_MS) {
      return;
    }
    if (hasSameEnding(line, lines.get(lines.size() - 1))) {
      sameEndings++;
    }
    String server = line.server();
    if (server.isEmpty()) {
      return;
    }
    String key = server + " " + line.vm();
    if (requestCounts.containsKey(key) || requestCounts.size() < MAX_REQUEST_COUNTS) {
      requestCounts.computeIfAbsent(key, k -> new RequestCounts(line.vm(), server)).add(line);
    }
  }

  private static boolean hasSameEnding(LogLine a, LogLine b) {
    return a.event() == b.event()
        && !a.field("kind").isEmpty()
        && a.field("kind").equals(b.field("kind"))
        && a.field("route").equals(b.field("route"));
  }

  /** Returns the trace of the request from the lines accepted so far. */
  public RequestTrace trace() {
    List<ContextLine> before = new ArrayList<>(beforeWindow.values());
    before.removeIf(f -> !f.isLoss());
    before.sort(Comparator.comparingLong(ContextLine::atMs));
    return new RequestTrace(
        search,
        lines,
        submissions,
        new RequestTrace.Span(fromMs, beginMs, endMs),
        before,
        contextLines.sorted(),
        contextLines.dropped(),
        List.copyOf(requestCounts.values()),
        sameEndings,
        logGaps);
  }
}

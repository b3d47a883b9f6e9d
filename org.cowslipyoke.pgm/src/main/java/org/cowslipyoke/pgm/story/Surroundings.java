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
 * The second reading of the logs: collects what the processes believed and did around a request
 * that a {@link RequestSearch} found. Lines of one VM are expected in the order of its writing.
 */
public final class Surroundings {

  /** Entries learn that a server left up to some seconds after its requests break. */
  static final long AFTER_MS = 5_000;

  /** How long after its last line the end of a request without an end is looked for. */
  static final long OPEN_AFTER_MS = 60_000;

  /** Time around the request in which other requests are counted. */
  static final long TALLY_MS = 2_000;

  private static final int MAX_TALLIES = 1_024;
  private static final int MAX_STANDING = 1_024;

  private final RequestSearch search;
  private final TimeAxis axis;
  private final List<LogLine> lines;
  private final List<Visit> visits;
  private final Set<String> vms;
  private final Set<String> servers;
  private final boolean anyServer;
  private final long beginMs;
  private final long endMs;
  private final long fromMs;
  private final long untilMs;
  private final Facts facts;
  private final Map<String, Fact> standing = new LinkedHashMap<>();
  private final Map<String, Tally> tallies = new TreeMap<>();
  private final Silences silences;
  private long alike;

  /**
   * Creates the collection.
   *
   * @param search has found the request
   * @param windowMs time before the request within which lines matter
   */
  public Surroundings(RequestSearch search, long windowMs) {
    this.search = search;
    this.axis = search.axis();
    this.lines = search.lines();
    this.visits = Visit.of(lines, axis);
    this.vms = lines.stream().map(LogLine::vm).collect(Collectors.toSet());
    this.servers =
        lines.stream().map(LogLine::server).filter(s -> !s.isEmpty()).collect(Collectors.toSet());
    Visit last = visits.get(visits.size() - 1);
    this.anyServer = isPlacementEnd(last);
    this.beginMs = lines.stream().mapToLong(l -> axis.of(l) - l.elapsedMs()).min().orElse(0);
    this.endMs = axis.of(lines.get(lines.size() - 1));
    this.fromMs = beginMs - windowMs;
    this.untilMs = endMs + (last.isOpen() ? OPEN_AFTER_MS : AFTER_MS);
    this.facts = new Facts(endMs);
    this.silences = new Silences(vms, fromMs, untilMs);
  }

  /** No server was chosen, or the line does not name it: the beliefs on all servers matter. */
  private static boolean isPlacementEnd(Visit v) {
    return switch (v.last().field("kind")) {
      case "NO_SERVER", "DEADLINE_TOO_SHORT", "OVERLOADED" -> true;
      case "OUTCOME_UNKNOWN" -> v.server().isEmpty();
      default -> false;
    };
  }

  /** Takes the next line. */
  public void accept(LogLine line) {
    long ms = axis.of(line);
    silences.accept(line.vm(), ms);
    if (line.isOf(search.request())) {
      return;
    }
    switch (line.event().scope()) {
      case VM -> vmLine(line, ms);
      case SERVER -> serverLine(line, ms);
      case REQUEST -> count(line, ms);
      default -> {}
    }
  }

  private void vmLine(LogLine line, long ms) {
    if (vms.contains(line.vm())) {
      if (line.event() == Event.STARTED && ms < fromMs) {
        standing.values().removeIf(f -> f.line().vm().equals(line.vm()));
      }
      take(line, ms, untilMs);
    }
  }

  private void serverLine(LogLine line, long ms) {
    boolean cache = line.event() == Event.CACHE_LOST || line.event() == Event.CACHE_REGAINED;
    String server = cache ? search.serverAt(line.field("address")) : line.server();
    boolean named = servers.contains(server);
    boolean order = line.event() == Event.ORDER_GIVEN;
    boolean belief = line.event() == Event.SERVER_CHANGED || new Fact(line, ms, 1, ms).isLoss();
    boolean ofAny =
        anyServer && !server.isEmpty() && (order || (belief && vms.contains(line.vm())));
    // A server that came back replaces the loss that was noted before the window.
    boolean replaces = ms < fromMs && standing.containsKey(new Fact(line, ms, 1, ms).subject());
    if (named || ofAny || replaces) {
      boolean late = named || new Fact(line, ms, 1, ms).isLoss();
      take(line, ms, late ? endMs + AFTER_MS : endMs);
    }
  }

  private void take(LogLine line, long ms, long toMs) {
    if (ms < fromMs) {
      Fact f = new Fact(line, ms, 1, ms);
      if (standing.size() < MAX_STANDING || standing.containsKey(f.subject())) {
        standing.put(f.subject(), f);
      }
    } else if (ms <= toMs) {
      facts.add(line, ms);
    }
  }

  private void count(LogLine line, long ms) {
    if (ms < beginMs - TALLY_MS || ms > endMs + TALLY_MS) {
      return;
    }
    if (isAlike(line, lines.get(lines.size() - 1))) {
      alike++;
    }
    String server = line.server();
    if (server.isEmpty()) {
      return;
    }
    String key = server + " " + line.vm();
    if (tallies.containsKey(key) || tallies.size() < MAX_TALLIES) {
      tallies.computeIfAbsent(key, k -> new Tally(line.vm(), server)).add(line);
    }
  }

  private static boolean isAlike(LogLine a, LogLine b) {
    return a.event() == b.event()
        && !a.field("kind").isEmpty()
        && a.field("kind").equals(b.field("kind"))
        && a.field("route").equals(b.field("route"));
  }

  /** Returns the story as far as the lines tell it. */
  public Story story() {
    List<Fact> before = new ArrayList<>(standing.values());
    before.removeIf(f -> !f.isLoss());
    before.sort(Comparator.comparingLong(Fact::atMs));
    return new Story(
        search,
        lines,
        visits,
        new Story.Span(fromMs, beginMs, endMs),
        before,
        facts.sorted(),
        facts.dropped(),
        List.copyOf(tallies.values()),
        alike,
        silences);
  }
}

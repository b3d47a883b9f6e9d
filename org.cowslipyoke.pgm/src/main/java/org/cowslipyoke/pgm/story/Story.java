package org.cowslipyoke.pgm.story;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One request over all processes: its own lines, and what else happened around it. */
public final class Story {

  /**
   * Times of a story.
   *
   * @param fromMs first time from which lines beside the request are taken
   * @param beginMs begin of the request, as its lines state it
   * @param endMs its last line
   */
  record Span(long fromMs, long beginMs, long endMs) {}

  private final RequestSearch search;
  private final List<LogLine> lines;
  private final List<Visit> visits;
  private final Span span;
  private final List<Fact> standing;
  private final List<Fact> facts;
  private final long droppedFacts;
  private final List<Tally> tallies;
  private final long alike;
  private final Silences silences;

  Story(
      RequestSearch search,
      List<LogLine> lines,
      List<Visit> visits,
      Span span,
      List<Fact> standing,
      List<Fact> facts,
      long droppedFacts,
      List<Tally> tallies,
      long alike,
      Silences silences) {
    this.search = search;
    this.lines = lines;
    this.visits = visits;
    this.span = span;
    this.standing = standing;
    this.facts = facts;
    this.droppedFacts = droppedFacts;
    this.tallies = tallies;
    this.alike = alike;
    this.silences = silences;
  }

  /** Returns the id of the request. */
  public String request() {
    return search.request();
  }

  /** Returns the times by which lines are in order. */
  public TimeAxis axis() {
    return search.axis();
  }

  /** Returns the time of a line on the axis of the story. */
  public long timeOf(LogLine line) {
    return axis().of(line);
  }

  /** Returns the lines of the request in order of time. */
  public List<LogLine> lines() {
    return lines;
  }

  /** Returns the number of lines of the request that were not kept. */
  public long cutLines() {
    return search.cut();
  }

  /** Returns the begin of the request, as its lines state it. */
  public long beginMs() {
    return span.beginMs();
  }

  /** Returns the time of the last line of the request. */
  public long endMs() {
    return span.endMs();
  }

  /** Returns losses that were noted before the window and not made up for in it. */
  public List<Fact> standing() {
    return standing;
  }

  /** Returns the lines beside the request in order of time. */
  public List<Fact> facts() {
    return facts;
  }

  /** Returns the number of lines beside the request that were not kept. */
  public long droppedFacts() {
    return droppedFacts;
  }

  /** Returns what became of other requests at the servers that the request was sent to. */
  public List<Tally> tallies() {
    Set<String> servers = lines.stream().map(LogLine::server).collect(Collectors.toSet());
    return tallies.stream().filter(t -> servers.contains(t.server())).toList();
  }

  /** Returns how many other requests ended with the same kind, on the same route if stated. */
  public long alike() {
    return alike;
  }

  List<Tally> allTallies() {
    return tallies;
  }

  List<Visit> visits() {
    return visits;
  }

  Visit lastVisit() {
    return visits.get(visits.size() - 1);
  }

  boolean isAnswersLogged() {
    return search.isAnswersLogged();
  }

  String serverAt(String address) {
    return search.serverAt(address);
  }

  Optional<Silences.Silence> silence(String vm, long beginMs, long endMs) {
    return silences.of(vm, beginMs, endMs);
  }

  /** Returns when the VM wrote its last line, the end of the request if it wrote none. */
  long lastLineMs(String vm) {
    RequestSearch.Covered c = search.covered().get(vm);
    return c == null ? endMs() : timeOf(c.last());
  }

  /** Returns all facts, those before the window first. */
  Stream<Fact> all() {
    return Stream.concat(standing.stream(), facts.stream());
  }

  /** Returns the last fact of a kind up to a time. */
  Optional<Fact> lastFact(Predicate<Fact> what, long upToMs) {
    return all().filter(f -> f.atMs() <= upToMs).filter(what).reduce((a, b) -> b);
  }

  /** Returns the first fact of a kind after a time. */
  Optional<Fact> firstFact(Predicate<Fact> what, long afterMs) {
    return all().filter(f -> f.atMs() > afterMs).filter(what).findFirst();
  }
}

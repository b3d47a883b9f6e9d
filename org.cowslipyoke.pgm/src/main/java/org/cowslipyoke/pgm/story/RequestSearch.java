package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The first reading of the logs: finds the lines of one request, the addresses of servers, and what
 * time the lines of each VM cover. The lines of one VM are expected in the order of its writing.
 */
public final class RequestSearch {

  /** A request has at most some ten lines; a caller may reuse an id without bound. */
  static final int MAX_LINES = 200;

  /** Servers whose address is kept. */
  static final int MAX_SERVERS = 4_096;

  /** VMs whose covered time is kept. */
  static final int MAX_VMS = 1_024;

  /**
   * The time that a VM's lines cover.
   *
   * @param gapFrom the line before the longest time without a line
   * @param gapTo the line after it
   */
  public record Covered(LogLine first, LogLine last, LogLine gapFrom, LogLine gapTo) {

    private Covered with(LogLine line) {
      boolean longer = gap(last, line) > gap(gapFrom, gapTo);
      return new Covered(first, line, longer ? last : gapFrom, longer ? line : gapTo);
    }

    private static long gap(LogLine a, LogLine b) {
      boolean prefixed = a.prefixMs() != LogLine.NO_PREFIX && b.prefixMs() != LogLine.NO_PREFIX;
      return prefixed ? b.prefixMs() - a.prefixMs() : b.wallMs() - a.wallMs();
    }
  }

  private final String request;
  private final List<LogLine> lines = new ArrayList<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final Map<String, Covered> covered = new TreeMap<>();
  private long read;
  private long cut;
  private boolean prefixed = true;
  private boolean answersLogged;

  /** Creates the search for one request. */
  public RequestSearch(String request) {
    this.request = request;
  }

  /** Takes the next line. */
  public void accept(LogLine line) {
    read++;
    prefixed &= line.prefixMs() != LogLine.NO_PREFIX;
    answersLogged |= line.event() == Event.ANSWER_PASSED_ON;
    Covered c = covered.get(line.vm());
    if (c != null || covered.size() < MAX_VMS) {
      covered.put(line.vm(), c == null ? new Covered(line, line, line, line) : c.with(line));
    }
    if (line.event() == Event.SERVER_CHANGED && addresses.size() < MAX_SERVERS) {
      addresses.put(line.field("address"), line.server());
    }
    if (line.isOf(request)) {
      if (lines.size() < MAX_LINES) {
        lines.add(line);
      } else {
        cut++;
      }
    }
  }

  /** Returns the id of the request. */
  public String request() {
    return request;
  }

  /** Returns whether a line of the request was found. */
  public boolean isFound() {
    return !lines.isEmpty();
  }

  /** Returns the lines of the request in order of time. */
  List<LogLine> lines() {
    return lines.stream().sorted(Comparator.comparingLong(axis()::of)).toList();
  }

  /** Returns the number of lines of the request that were not kept. */
  long cut() {
    return cut;
  }

  /** Returns the number of log lines read. */
  public long read() {
    return read;
  }

  /** Returns the axis that all lines have. */
  public TimeAxis axis() {
    return prefixed ? TimeAxis.PREFIX : TimeAxis.CLOCKS;
  }

  /** Returns whether the processes write a line for each whole answer. */
  public boolean isAnswersLogged() {
    return answersLogged;
  }

  /** Returns the time that the lines of each VM cover. */
  public Map<String, Covered> covered() {
    return covered;
  }

  /** Returns the id of the server at an address, empty if not known. */
  String serverAt(String address) {
    return addresses.getOrDefault(address, "");
  }
}

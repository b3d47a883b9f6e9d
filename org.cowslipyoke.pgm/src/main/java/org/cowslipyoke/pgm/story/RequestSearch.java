package org.cowslipyoke.pgm.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * First pass over the logs: finds the lines of one request, the addresses of servers, and the time
 * that the log of each VM covers. The lines of each VM must be passed in the order in which the VM
 * wrote them.
 */
public final class RequestSearch {

  /** Maximum number of lines kept; a request has about ten, but a caller may reuse its id. */
  static final int MAX_LINES = 200;

  /** Maximum number of server addresses kept. */
  static final int MAX_SERVERS = 4_096;

  /** Maximum number of VMs whose coverage is kept. */
  static final int MAX_VMS = 1_024;

  /**
   * Time that the log of a VM covers.
   *
   * @param beforeGap last line before the longest gap
   * @param afterGap first line after the longest gap
   */
  public record Coverage(LogLine first, LogLine last, LogLine beforeGap, LogLine afterGap) {

    private Coverage extendedBy(LogLine line) {
      boolean longer = gapMs(last, line) > gapMs(beforeGap, afterGap);
      return new Coverage(first, line, longer ? last : beforeGap, longer ? line : afterGap);
    }

    private static long gapMs(LogLine a, LogLine b) {
      boolean prefixed = a.prefixMs() != LogLine.NO_PREFIX && b.prefixMs() != LogLine.NO_PREFIX;
      return prefixed ? b.prefixMs() - a.prefixMs() : b.wallMs() - a.wallMs();
    }
  }

  private final String request;
  private final List<LogLine> lines = new ArrayList<>();
  private final Map<String, String> serversByAddress = new HashMap<>();
  private final Map<String, Coverage> coverage = new TreeMap<>();
  private long linesRead;
  private long omittedLines;
  private boolean allPrefixed = true;
  private boolean answersLogged;

  /** Creates a search for the request with an id. */
  public RequestSearch(String request) {
    this.request = request;
  }

  /** Accepts the next line. */
  public void accept(LogLine line) {
    linesRead++;
    allPrefixed &= line.prefixMs() != LogLine.NO_PREFIX;
    answersLogged |= line.event() == Event.ANSWER_PASSED_ON;
    Coverage c = coverage.get(line.vm());
    if (c != null || coverage.size() < MAX_VMS) {
      coverage.put(
          line.vm(), c == null ? new Coverage(line, line, line, line) : c.extendedBy(line));
    }
    if (line.event() == Event.SERVER_CHANGED && serversByAddress.size() < MAX_SERVERS) {
      serversByAddress.put(line.field("address"), line.server());
    }
    if (line.isOfRequest(request)) {
      if (lines.size() < MAX_LINES) {
        lines.add(line);
      } else {
        omittedLines++;
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
  long omittedLines() {
    return omittedLines;
  }

  /** Returns the number of log lines read. */
  public long linesRead() {
    return linesRead;
  }

  /** Returns the prefix axis if all lines have a prefix time, the clock axis otherwise. */
  public TimeAxis axis() {
    return allPrefixed ? TimeAxis.PREFIX : TimeAxis.CLOCKS;
  }

  /** Returns whether the processes log a line for each complete response. */
  public boolean isAnswersLogged() {
    return answersLogged;
  }

  /** Returns the time that the log of each VM covers, by VM. */
  public Map<String, Coverage> coverage() {
    return coverage;
  }

  /** Returns the id of the server at an address, empty if the address is not known. */
  String serverAt(String address) {
    return serversByAddress.getOrDefault(address, "");
  }
}

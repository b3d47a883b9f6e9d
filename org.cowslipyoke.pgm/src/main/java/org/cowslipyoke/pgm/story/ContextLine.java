package org.cowslipyoke.pgm.story;

/**
 * Log line that does not name the request but reports a state or an action of a process around it.
 *
 * @param line first line with the message
 * @param atMs time of the first line
 * @param count how often the VM wrote the same message
 * @param lastMs time of the last line
 */
public record ContextLine(LogLine line, long atMs, int count, long lastMs) {

  ContextLine repeatedAt(long ms) {
    return new ContextLine(line, Math.min(atMs, ms), count + 1, Math.max(lastMs, ms));
  }

  boolean is(Event event) {
    return line.event() == event;
  }

  /**
   * Returns whether the line reports the loss of something until a later line reports its recovery.
   */
  boolean isLoss() {
    return switch (line.event()) {
      case STORE_LOST, CACHE_LOST, LOADS_LOST, SERVER_GONE, STOPPING -> true;
      case SERVER_CHANGED -> line.field("leaving").equals("true");
      case DOMAINS_OUT -> !line.field("now").equals("[]");
      default -> false;
    };
  }

  /** Returns a key for what the line is about; a later line with the same key supersedes it. */
  String subject() {
    LogLine l = line;
    String what =
        switch (l.event()) {
          case STORE_LOST, STORE_REGAINED -> "store " + l.field("reading");
          case CACHE_LOST, CACHE_REGAINED -> "cache " + l.field("address");
          case LOADS_LOST, LOADS_REGAINED -> "loads";
          case SERVER_GONE, SERVER_CHANGED -> "server " + l.server();
          case STARTED, STOPPING, DRAINED, STOPPED -> "process";
          default -> l.event() + " " + l.server();
        };
    return l.vm() + " " + what;
  }
}

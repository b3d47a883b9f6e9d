package org.cowslipyoke.pgm.story;

/**
 * A line beside those of the request: what a process believed or did.
 *
 * @param count how often the VM wrote the same message
 * @param lastMs time of the last one
 */
public record Fact(LogLine line, long atMs, int count, long lastMs) {

  Fact again(long ms) {
    return new Fact(line, Math.min(atMs, ms), count + 1, Math.max(lastMs, ms));
  }

  boolean is(Event event) {
    return line.event() == event;
  }

  /**
   * Returns whether the line reports something that is missing until another line says otherwise.
   */
  boolean isLoss() {
    return switch (line.event()) {
      case STORE_LOST, CACHE_LOST, LOADS_LOST, SERVER_GONE, STOPPING -> true;
      case SERVER_CHANGED -> line.field("leaving").equals("true");
      case DOMAINS_OUT -> !line.field("now").equals("[]");
      default -> false;
    };
  }

  /** Returns what the line is about; a later line about the same replaces it. */
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

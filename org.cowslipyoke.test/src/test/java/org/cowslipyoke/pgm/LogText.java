package org.cowslipyoke.pgm;

import java.time.Instant;

/** Builds log text in the JSON layout of the processes. */
final class LogText {

  private static final long BASE_MS = Instant.parse("2026-09-08T16:14:00Z").toEpochMilli();

  private final StringBuilder text = new StringBuilder();

  /** Adds a line without a prefix. */
  LogText line(long atMs, String message) {
    text.append(json(atMs, message)).append('\n');
    return this;
  }

  /** Adds a line with a time and a VM name before the JSON; the VM's clock may differ from it. */
  LogText line(String seconds, String vm, long clockMs, String message) {
    text.append("  ").append(seconds).append(' ').append(vm).append(' ');
    return line(clockMs, message);
  }

  LogText raw(String line) {
    text.append(line).append('\n');
    return this;
  }

  String text() {
    return text.toString();
  }

  private static String json(long atMs, String message) {
    String time = Instant.ofEpochMilli(BASE_MS + atMs).toString();
    return "{\"time\":\""
        + time
        + "\",\"level\":\"INFO\",\"logger\":\"x\",\"thread\":\"t\",\"message\":\""
        + message
        + "\"}";
  }
}

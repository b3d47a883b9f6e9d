package org.cowslipyoke.pgm.story;

import java.util.Map;
import java.util.OptionalLong;

/**
 * One log line of a process.
 *
 * @param vm the VM that wrote it
 * @param wallMs time by the clock of the VM
 * @param prefixMs time that stands before the JSON, {@link #NO_PREFIX} if none
 * @param fields names and values in the message
 */
public record LogLine(
    String vm,
    long wallMs,
    long prefixMs,
    Event event,
    String message,
    Map<String, String> fields) {

  /** Stands for a line without a time before the JSON. */
  public static final long NO_PREFIX = Long.MIN_VALUE;

  /** Returns a field of the message, empty if it has none of this name. */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns a field that holds a number. */
  public OptionalLong number(String name) {
    try {
      return OptionalLong.of(Long.parseLong(field(name)));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns the id of the server that the line names, empty if none. */
  public String server() {
    String id = field("server");
    return id.isEmpty() && event.scope() == Event.Scope.SERVER ? field("id") : id;
  }

  /** Returns whether the line can belong to a story or stand beside one. */
  public boolean isUseful() {
    return event.scope() != Event.Scope.NONE;
  }

  boolean isOf(String request) {
    return field("request").equals(request);
  }

  /** Returns how long the line's subject had lasted, 0 if the line does not state it. */
  long elapsedMs() {
    return number("elapsedMs").orElse(number("tookMs").orElse(0));
  }
}

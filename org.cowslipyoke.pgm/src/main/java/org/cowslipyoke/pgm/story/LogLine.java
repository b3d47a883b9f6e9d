package org.cowslipyoke.pgm.story;

import java.util.Map;
import java.util.OptionalLong;

/**
 * One log line of a process.
 *
 * @param vm VM that wrote the line
 * @param wallMs time by the clock of the VM, in milliseconds since the epoch
 * @param prefixMs time in the prefix before the JSON in milliseconds, {@link #NO_PREFIX} if none
 * @param fields fields of the message by name
 */
public record LogLine(
    String vm,
    long wallMs,
    long prefixMs,
    Event event,
    String message,
    Map<String, String> fields) {

  /** Value of {@code prefixMs} for a line without a time before the JSON. */
  public static final long NO_PREFIX = Long.MIN_VALUE;

  /** Returns a field of the message, empty if the message does not contain it. */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the value of a numeric field, empty if it is missing or not a number. */
  public OptionalLong number(String name) {
    try {
      return OptionalLong.of(Long.parseLong(field(name)));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns the id of the server that the line names, empty if it names none. */
  public String server() {
    String id = field("server");
    return id.isEmpty() && event.scope() == Event.Scope.SERVER ? field("id") : id;
  }

  /** Returns whether the line reports an event that a trace can contain. */
  public boolean isKnownEvent() {
    return event.scope() != Event.Scope.NONE;
  }

  boolean isOfRequest(String request) {
    return field("request").equals(request);
  }

  /** Returns the duration that the line reports, 0 if it reports none. */
  long elapsedMs() {
    return number("elapsedMs").orElse(number("tookMs").orElse(0));
  }
}

package org.cowslipyoke.pgm.story;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/** Reads a log line: a JSON object, possibly after a time in seconds and the name of a VM. */
public final class LogLineParser {

  private static final Pattern FIELD = Pattern.compile("(?:^| )([a-zA-Z]+)=");
  private static final Pattern SECONDS = Pattern.compile("-?\\d{1,12}(\\.\\d{1,18})?");
  private static final Pattern LETTER = Pattern.compile("\\p{L}");

  private LogLineParser() {}

  /**
   * Returns the line, empty if it is no log line of a process.
   *
   * @param source stands for the VM if nothing before the JSON names one
   */
  public static Optional<LogLine> parse(String line, String source) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode n = Json.parse(line.substring(start).getBytes(StandardCharsets.UTF_8));
      long wallMs = Instant.parse(Json.text(n, "time")).toEpochMilli();
      String message = Json.text(n, "message");
      String error = n.path("error").asText("");
      String vm = source;
      long prefixMs = LogLine.NO_PREFIX;
      for (String word : line.substring(0, start).strip().split("[\\s|]+", -1)) {
        if (prefixMs == LogLine.NO_PREFIX && SECONDS.matcher(word).matches()) {
          prefixMs = Math.round(Double.parseDouble(word) * 1_000);
        } else if (LETTER.matcher(word).find()) {
          vm = word.endsWith(":") ? word.substring(0, word.length() - 1) : word;
        }
      }
      String whole = error.isEmpty() ? message : message + " error=" + error;
      return Optional.of(
          new LogLine(vm, wallMs, prefixMs, Event.of(message), whole, fields(whole)));
    } catch (MalformedResponseException | DateTimeException e) {
      return Optional.empty();
    }
  }

  /** A value reaches to the next name; the first value of a name counts. */
  private static Map<String, String> fields(String message) {
    Map<String, String> fields = new HashMap<>();
    Matcher m = FIELD.matcher(message);
    boolean found = m.find(Math.min(message.length(), message.indexOf(':') + 1));
    while (found) {
      String name = m.group(1);
      int from = m.end();
      found = m.find();
      int to = found ? m.start() : message.length();
      fields.putIfAbsent(name, message.substring(from, to).strip());
    }
    return fields;
  }
}

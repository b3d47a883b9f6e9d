package org.cowslipyoke.stream;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.cowslipyoke.util.Digests;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * The version at which one attempt of a request began a stream.
 *
 * @param service service that began it
 * @param request id of the request
 * @param attempt number of the attempt at the entry that received the request, at most {@value
 *     #MAX_ATTEMPT}; the events came from the last one
 * @param recordedMs time of the table's clock in milliseconds
 * @param era era of the table; after the table's return from an older copy a record of a later
 *     attempt may be lost, so that this one tells nothing
 */
public record StreamRecord(
    String service, String request, int attempt, String software, long recordedMs, long era) {

  /** Highest number of an attempt, so that it is one digit of the key. */
  static final int MAX_ATTEMPT = 9;

  /** Ids that fit the limits of keys; of others the digest is used. */
  private static final Pattern PLAIN_ID = Pattern.compile("[A-Za-z0-9_.:-]{1,64}");

  /** Returns the key of the record. */
  public String key() {
    return prefix(request) + Math.min(MAX_ATTEMPT, attempt);
  }

  /** Returns the text with which the keys of a request's records begin. */
  public static String prefix(String request) {
    return (PLAIN_ID.matcher(request).matches() ? request : Digests.sha256Hex(request)) + "/";
  }

  /** Encodes all but the key as JSON. */
  public String encode() {
    return Json.object()
        .put("service", service)
        .put("software", software)
        .put("recordedMs", recordedMs)
        .put("era", era)
        .toString();
  }

  /** Returns the time of a record in milliseconds, 0 if the row is no record. */
  public static long recordedMs(String json) {
    try {
      return Json.integer(Json.parse(json.getBytes(StandardCharsets.UTF_8)), "recordedMs");
    } catch (MalformedResponseException e) {
      return 0;
    }
  }

  /** Returns the record with another time and era, to be written again. */
  StreamRecord at(long ms, long newEra) {
    return new StreamRecord(service, request, attempt, software, ms, newEra);
  }

  /**
   * Decodes a record.
   *
   * @param request id of the request
   * @throws MalformedResponseException if the row is no record of the request
   */
  public static StreamRecord decode(String request, String key, String json)
      throws MalformedResponseException {
    String prefix = prefix(request);
    int attempt =
        key.length() == prefix.length() + 1 && key.startsWith(prefix)
            ? Character.digit(key.charAt(prefix.length()), MAX_ATTEMPT + 1)
            : -1;
    if (attempt < 0) {
      throw new MalformedResponseException("row " + key + " is no record");
    }
    JsonNode n = Json.parse(json.getBytes(StandardCharsets.UTF_8));
    return new StreamRecord(
        Json.text(n, "service"),
        request,
        attempt,
        Json.text(n, "software"),
        Json.integer(n, "recordedMs"),
        Json.integer(n, "era"));
  }
}

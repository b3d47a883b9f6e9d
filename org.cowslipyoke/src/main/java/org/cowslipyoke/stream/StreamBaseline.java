package org.cowslipyoke.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;
import org.jspecify.annotations.Nullable;

/**
 * The version of a service whose streams need no record of their own.
 *
 * @param previous version of streams without a record until {@code settledMs}, null if it is
 *     unknown
 * @param settledMs time of the table's clock in milliseconds from which streams without a record
 *     were begun by {@code software}; until then all new streams are recorded
 * @param era era of the table in which the baseline was written; in a later era records of streams
 *     may be lost
 */
public record StreamBaseline(String software, @Nullable String previous, long settledMs, long era) {

  /**
   * Returns whether streams of a version may begin without a record.
   *
   * @param tableMs lower bound of the table's clock in milliseconds
   * @param tableEra newest known era of the table
   */
  boolean permits(String version, long tableMs, long tableEra) {
    return era == tableEra && tableMs >= settledMs && software.equals(version);
  }

  /**
   * Returns the version of a stream without a record, empty if it is unknown.
   *
   * @param tableMs time of the table's clock in milliseconds at which there was no record
   * @param tableEra era of the table at that time
   */
  Optional<String> withoutRecord(long tableMs, long tableEra) {
    if (era != tableEra) {
      return Optional.empty();
    }
    return Optional.ofNullable(tableMs < settledMs ? previous : software);
  }

  /** Encodes the baseline as JSON. */
  public String encode() {
    ObjectNode n = Json.object().put("software", software).put("settledMs", settledMs);
    if (previous != null) {
      n.put("previous", previous);
    }
    return n.put("era", era).toString();
  }

  /**
   * Decodes a baseline.
   *
   * @throws MalformedResponseException if it is not one
   */
  public static StreamBaseline decode(String json) throws MalformedResponseException {
    JsonNode n = Json.parse(json.getBytes(StandardCharsets.UTF_8));
    JsonNode previous = n.path("previous");
    return new StreamBaseline(
        Json.text(n, "software"),
        previous.isTextual() ? previous.textValue() : null,
        Json.integer(n, "settledMs"),
        Json.integer(n, "era"));
  }
}

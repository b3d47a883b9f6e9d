package org.cowslipyoke.suspect;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.suspect.SuspectList.Entry;
import org.cowslipyoke.suspect.SuspectList.Snapshot;

/**
 * JSON text of the suspects list, as stored in the table and sent between daemons: {@code
 * {"version":…,"entries":{"<digest>":{"crashes":…,"sinceWallMs":…}}}}. The version is that of the
 * table row. Readers ignore other members.
 */
final class SuspectJson {

  private static final ObjectMapper JSON = new ObjectMapper();

  private SuspectJson() {}

  /** Returns the entries as a JSON object. */
  static ObjectNode write(Snapshot snapshot) {
    ObjectNode root = JSON.createObjectNode().put("version", snapshot.version());
    ObjectNode entries = root.putObject("entries");
    snapshot
        .entries()
        .forEach(
            (d, e) ->
                entries
                    .putObject(d)
                    .put("crashes", e.crashes())
                    .put("sinceWallMs", e.sinceWallMs()));
    return root;
  }

  /**
   * Reads a list.
   *
   * @param version version of the row that holds the text
   */
  static Either<Failure, Snapshot> read(long version, String json) {
    Map<String, Entry> entries = new LinkedHashMap<>();
    try {
      JsonNode root = JSON.readTree(json);
      for (Map.Entry<String, JsonNode> e : root.path("entries").properties()) {
        JsonNode v = e.getValue();
        entries.put(
            e.getKey(), new Entry(v.path("crashes").asInt(), v.path("sinceWallMs").asLong()));
      }
    } catch (JsonProcessingException e) {
      return Either.left(Failure.of(ErrorKind.INTERNAL, "the suspects list is malformed"));
    }
    return Either.right(new Snapshot(version, Collections.unmodifiableMap(entries)));
  }
}

package org.cowslipyoke.suspect;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.suspect.SuspectList.Entry;
import org.cowslipyoke.suspect.SuspectList.Snapshot;

/** JSON form of the suspects list, in its table row and in documents between processes. */
public final class SuspectListCodec {

  /** Key of the table row. */
  public static final String ROW = "suspects";

  private static final String VERSION = "version";
  private static final String ENTRIES = "entries";
  private static final String CRASHES = "crashes";
  private static final String SINCE = "sinceWallMs";

  private SuspectListCodec() {}

  /** Returns the list as a JSON tree. */
  public static ObjectNode toTree(Snapshot snapshot) {
    ObjectNode tree = JsonNodeFactory.instance.objectNode().put(VERSION, snapshot.version());
    ObjectNode entries = tree.putObject(ENTRIES);
    snapshot
        .entries()
        .forEach(
            (digest, e) ->
                entries.putObject(digest).put(CRASHES, e.crashes()).put(SINCE, e.sinceWallMs()));
    return tree;
  }

  /** Parses the value of the table row; the version of the list is that of the row. */
  public static Either<Failure, Snapshot> parse(long rowVersion, String json) {
    return ConfigurationDocument.readObject(json.getBytes(StandardCharsets.UTF_8))
        .map(tree -> tree.put(VERSION, rowVersion))
        .flatMap(SuspectListCodec::ofTree);
  }

  /** Returns the list that a JSON tree holds, entries in order of their last crash. */
  public static Either<Failure, Snapshot> ofTree(JsonNode tree) {
    JsonNode version = tree.path(VERSION);
    if (!version.isIntegralNumber() || !tree.path(ENTRIES).isObject()) {
      return Either.left(Failure.of(ErrorKind.INTERNAL, "suspects list is damaged"));
    }
    List<Map.Entry<String, JsonNode>> sorted =
        tree.path(ENTRIES).properties().stream()
            .sorted(Comparator.comparingLong(e -> e.getValue().path(SINCE).asLong()))
            .toList();
    Map<String, Entry> entries = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> e : sorted) {
      JsonNode v = e.getValue();
      entries.put(e.getKey(), new Entry(v.path(CRASHES).asInt(), v.path(SINCE).asLong()));
    }
    return Either.right(new Snapshot(version.asLong(), Collections.unmodifiableMap(entries)));
  }
}

package org.cowslipyoke.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.CallPattern;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.Configuration.Fencing;
import org.cowslipyoke.config.Configuration.Group;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.config.Configuration.Service;
import org.cowslipyoke.config.Configuration.StoreGroup;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.Section;

/** Reads the snapshot out of a document that was checked when it was applied. */
public final class SnapshotReader {

  private SnapshotReader() {}

  /**
   * Returns the snapshot.
   *
   * @throws IllegalArgumentException if a value is missing or has the wrong type
   */
  public static Configuration read(ConfigurationDocument document) {
    Map<String, Long> versions = new LinkedHashMap<>();
    document.versions().forEach((s, v) -> versions.put(s.wireName(), v));
    JsonNode organisations = content(document, Section.ORGANISATIONS).path("organisations");
    JsonNode models = content(document, Section.MODELS).path("models");
    return new Configuration(
        document.headVersion(),
        Map.copyOf(versions),
        map(organisations, SnapshotReader::organisation),
        map(models, SnapshotReader::model),
        places(content(document, Section.PLACES)),
        limits(content(document, Section.LIMITS)));
  }

  private static JsonNode content(ConfigurationDocument document, Section section) {
    return document.content(section).map(JsonNode.class::cast).orElse(MissingNode.getInstance());
  }

  private static Organisation organisation(String name, JsonNode n) {
    return new Organisation(
        name,
        list(n.path("keyHashes"), JsonNode::asText),
        number(n, "weight").asInt(),
        number(n, "requestsPerSecond").asDouble(),
        number(n, "maxConcurrent").asInt(),
        number(n, "keptBlocks").asInt());
  }

  private static Model model(String name, JsonNode n) {
    return new Model(
        name,
        text(n, "group"),
        text(n, "weightVersion"),
        list(n.path("adapters"), JsonNode::asText),
        number(n, "maxTokens").asInt());
  }

  private static Places places(JsonNode n) {
    return new Places(
        map(n.path("failureDomains"), (k, v) -> constant(DomainState.class, v.asText())),
        map(
            n.path("groups"),
            (k, v) ->
                new Group(k, constant(Fencing.class, text(v, "fencing")), text(v, "weightStore"))),
        map(
            n.path("stores"),
            (k, v) ->
                new StoreGroup(
                    k, number(v, "copies").asInt(), number(v, "linkBytesPerSecond").asLong())),
        map(n.path("services"), SnapshotReader::service));
  }

  private static Service service(String name, JsonNode n) {
    List<CallPattern> patterns =
        list(n.path("notRepeatable"), p -> new CallPattern(text(p, "method"), text(p, "path")));
    return new Service(name, text(n, "prefix"), text(n, "group"), patterns);
  }

  private static Limits limits(JsonNode n) {
    return new Limits(
        number(n, "costPerTtftMs").asDouble(),
        number(n, "costPerToken").asDouble(),
        number(n, "costPerLinkByte").asDouble(),
        number(n, "coldStartConcurrency").asInt(),
        number(n, "defaultDeadlineMs").asLong(),
        number(n, "maxBodyBytes").asInt());
  }

  private static <E extends Enum<E>> E constant(Class<E> type, String name) {
    return Enum.valueOf(type, name.toUpperCase(Locale.ROOT));
  }

  private static String text(JsonNode n, String key) {
    JsonNode v = n.get(key);
    if (v == null || !v.isTextual()) {
      throw new IllegalArgumentException("text " + key + " is missing");
    }
    return v.asText();
  }

  private static JsonNode number(JsonNode n, String key) {
    JsonNode v = n.get(key);
    if (v == null || !v.isNumber()) {
      throw new IllegalArgumentException("number " + key + " is missing");
    }
    return v;
  }

  private static <T> List<T> list(JsonNode array, Function<JsonNode, T> item) {
    List<T> list = new ArrayList<>(array.size());
    array.forEach(i -> list.add(item.apply(i)));
    return List.copyOf(list);
  }

  private static <T> Map<String, T> map(JsonNode object, BiFunction<String, JsonNode, T> value) {
    if (!(object instanceof ObjectNode)) {
      throw new IllegalArgumentException("object is missing");
    }
    Map<String, T> map = new LinkedHashMap<>();
    object.properties().forEach(e -> map.put(e.getKey(), value.apply(e.getKey(), e.getValue())));
    return Map.copyOf(map);
  }
}

package org.cowslipyoke.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.config.Section;

/** Checks that JSON Schema can't express: references between sections and unique values. */
public final class CrossChecks {

  /** Paths that the entry answers itself. */
  private static final List<String> RESERVED = List.of("/v1", "/healthz", "/readyz", "/metrics");

  private CrossChecks() {}

  /** Returns a message for each error. A reference into a section that is absent is no error. */
  public static List<String> errors(Map<Section, ObjectNode> contents) {
    List<String> errors = new ArrayList<>();
    uniqueKeys(content(contents, Section.ORGANISATIONS).path("organisations"), errors);
    JsonNode places = content(contents, Section.PLACES);
    if (!places.isMissingNode()) {
      JsonNode models = content(contents, Section.MODELS).path("models");
      groups("/models/", models, places, errors);
      groups("/places/services/", places.path("services"), places, errors);
      oneUse(models, places.path("services"), errors);
      prefixes(places.path("services"), errors);
      copies(places, errors);
    }
    return errors;
  }

  private static JsonNode content(Map<Section, ObjectNode> contents, Section section) {
    ObjectNode c = contents.get(section);
    return c == null ? MissingNode.getInstance() : c;
  }

  /** A key that two organisations share would show one organisation's work to the other. */
  private static void uniqueKeys(JsonNode organisations, List<String> errors) {
    Map<String, String> owner = new HashMap<>();
    for (Map.Entry<String, JsonNode> o : organisations.properties()) {
      for (JsonNode hash : o.getValue().path("keyHashes")) {
        String other = owner.putIfAbsent(hash.asText(), o.getKey());
        if (other != null) {
          errors.add(
              "/organisations/"
                  + o.getKey()
                  + "/keyHashes: value "
                  + hash
                  + " is also a key of \""
                  + other
                  + "\"; allowed: a key belongs to one organisation");
        }
      }
    }
  }

  private static void groups(String path, JsonNode users, JsonNode places, List<String> errors) {
    JsonNode groups = places.path("groups");
    for (Map.Entry<String, JsonNode> u : users.properties()) {
      JsonNode group = u.getValue().path("group");
      if (!groups.has(group.asText())) {
        List<String> names = new ArrayList<>();
        groups.fieldNames().forEachRemaining(names::add);
        errors.add(
            path
                + u.getKey()
                + "/group: value "
                + group
                + " is not a group of section places; allowed: "
                + String.join(", ", names));
      }
    }
  }

  private static void oneUse(JsonNode models, JsonNode services, List<String> errors) {
    Set<String> modelGroups = new HashSet<>();
    models.forEach(m -> modelGroups.add(m.path("group").asText()));
    for (Map.Entry<String, JsonNode> s : services.properties()) {
      JsonNode group = s.getValue().path("group");
      if (modelGroups.contains(group.asText())) {
        errors.add(
            "/places/services/"
                + s.getKey()
                + "/group: value "
                + group
                + " is the group of a model; allowed: a group without models");
      }
    }
  }

  private static void prefixes(JsonNode services, List<String> errors) {
    Map<String, String> taken = new HashMap<>();
    RESERVED.forEach(r -> taken.put(r + "/", "the entry itself"));
    for (Map.Entry<String, JsonNode> s : services.properties()) {
      String prefix = s.getValue().path("prefix").asText() + "/";
      for (Map.Entry<String, String> t : taken.entrySet()) {
        if (prefix.startsWith(t.getKey()) || t.getKey().startsWith(prefix)) {
          errors.add(
              "/places/services/"
                  + s.getKey()
                  + "/prefix: value "
                  + s.getValue().path("prefix")
                  + " overlaps a path of "
                  + t.getValue()
                  + "; allowed: a prefix of its own");
        }
      }
      taken.put(prefix, "service " + s.getKey());
    }
  }

  private static void copies(JsonNode places, List<String> errors) {
    int domains = places.path("failureDomains").size();
    for (Map.Entry<String, JsonNode> s : places.path("stores").properties()) {
      JsonNode copies = s.getValue().path("copies");
      if (copies.asInt() > domains) {
        errors.add(
            "/places/stores/"
                + s.getKey()
                + "/copies: value "
                + copies
                + " exceeds the number of failure domains; allowed: at most "
                + domains);
      }
    }
  }
}

package org.cowslipyoke.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.config.Section;

/** Finds entries that nobody refers to or that can never match. */
final class UnusedEntries {

  private final List<Finding> findings = new ArrayList<>();

  private UnusedEntries() {}

  static List<Finding> findings(Map<Section, ObjectNode> contents) {
    UnusedEntries u = new UnusedEntries();
    JsonNode places = content(contents, Section.PLACES);
    JsonNode models = content(contents, Section.MODELS).path("models");
    if (contents.containsKey(Section.MODELS)) {
      u.groups(places, models);
    }
    u.services(places.path("services"));
    models
        .properties()
        .forEach(
            m ->
                u.repeated(
                    Section.MODELS,
                    "/models/" + m.getKey() + "/adapters",
                    m.getValue().path("adapters")));
    u.organisations(content(contents, Section.ORGANISATIONS).path("organisations"));
    return u.findings;
  }

  private static JsonNode content(Map<Section, ObjectNode> contents, Section section) {
    ObjectNode c = contents.get(section);
    return c == null ? MissingNode.getInstance() : c;
  }

  private void add(Section section, String path, String message) {
    findings.add(Finding.warning(section, path, message));
  }

  private void groups(JsonNode places, JsonNode models) {
    Set<String> used = new HashSet<>();
    models.forEach(m -> used.add(m.path("group").asText()));
    places.path("services").forEach(s -> used.add(s.path("group").asText()));
    for (Map.Entry<String, JsonNode> g : places.path("groups").properties()) {
      if (!used.contains(g.getKey())) {
        String m = "no model and no service refers to this group";
        add(Section.PLACES, "/groups/" + g.getKey(), m);
      }
    }
  }

  private void services(JsonNode services) {
    for (Map.Entry<String, JsonNode> s : services.properties()) {
      String path = "/services/" + s.getKey() + "/notRepeatable";
      JsonNode patterns = s.getValue().path("notRepeatable");
      for (int i = 0; i < patterns.size(); i++) {
        pattern(path + "/" + i, s.getValue().path("prefix").asText(), patterns, i);
      }
    }
  }

  private void pattern(String path, String prefix, JsonNode patterns, int i) {
    String own = patterns.get(i).path("path").asText();
    for (int j = 0; j < patterns.size(); j++) {
      boolean equal = patterns.get(i).equals(patterns.get(j));
      if (j != i && covers(patterns.get(j), patterns.get(i)) && (!equal || j < i)) {
        add(Section.PLACES, path, "pattern " + j + " matches each of its calls");
        break;
      }
    }
    if ((own + "/").startsWith(prefix + "/")) {
      String m = " begins with the prefix of the service, which calls are matched without";
      add(Section.PLACES, path, "path \"" + own + "\"" + m);
    }
  }

  private static boolean covers(JsonNode wide, JsonNode narrow) {
    String method = wide.path("method").asText();
    return (method.equals("*") || method.equals(narrow.path("method").asText()))
        && narrow.path("path").asText().startsWith(wide.path("path").asText());
  }

  private void organisations(JsonNode organisations) {
    for (Map.Entry<String, JsonNode> o : organisations.properties()) {
      String path = "/organisations/" + o.getKey() + "/keyHashes";
      JsonNode hashes = o.getValue().path("keyHashes");
      if (hashes.isEmpty()) {
        add(Section.ORGANISATIONS, path, "without a key no request belongs to this organisation");
      }
      repeated(Section.ORGANISATIONS, path, hashes);
    }
  }

  private void repeated(Section section, String path, JsonNode values) {
    Set<JsonNode> seen = new HashSet<>();
    for (JsonNode v : values) {
      if (!seen.add(v)) {
        add(section, path, "value " + v + " is listed twice");
      }
    }
  }
}

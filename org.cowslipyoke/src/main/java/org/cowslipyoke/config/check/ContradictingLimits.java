package org.cowslipyoke.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.config.Section;

/** Finds limits that contradict each other, so that one of them can't take effect. */
final class ContradictingLimits {

  private static final List<String> COSTS =
      List.of("costPerTtftMs", "costPerToken", "costPerLinkByte");

  private final List<Finding> findings = new ArrayList<>();

  private ContradictingLimits() {}

  static List<Finding> findings(Map<Section, ObjectNode> contents) {
    ContradictingLimits c = new ContradictingLimits();
    JsonNode organisations = content(contents, Section.ORGANISATIONS).path("organisations");
    JsonNode limits = content(contents, Section.LIMITS);
    JsonNode places = content(contents, Section.PLACES);
    for (Map.Entry<String, JsonNode> o : organisations.properties()) {
      c.organisation("/organisations/" + o.getKey(), o.getValue(), limits, places);
    }
    c.domains(places);
    if (!limits.isMissingNode() && COSTS.stream().allMatch(k -> limits.path(k).asDouble() == 0)) {
      String m = "all three cost weights are 0, so that placement can't tell servers apart";
      c.add(Section.LIMITS, "/costPerTtftMs", m);
    }
    return c.findings;
  }

  private static JsonNode content(Map<Section, ObjectNode> contents, Section section) {
    ObjectNode c = contents.get(section);
    return c == null ? MissingNode.getInstance() : c;
  }

  private void add(Section section, String path, String message) {
    findings.add(Finding.warning(section, path, message));
  }

  private void organisation(String path, JsonNode o, JsonNode limits, JsonNode places) {
    double perSecond = o.path("requestsPerSecond").asDouble();
    int concurrent = o.path("maxConcurrent").asInt();
    if (perSecond == 0) {
      String m = "value 0 does not refuse: each entry admits 1 request a second";
      add(Section.ORGANISATIONS, path + "/requestsPerSecond", m);
    }
    if (concurrent == 0) {
      String m = "value 0 does not refuse: each entry admits 1 request at a time";
      add(Section.ORGANISATIONS, path + "/maxConcurrent", m);
    }
    double reachable = perSecond * limits.path("defaultDeadlineMs").asDouble() / 1_000;
    if (perSecond > 0 && !limits.isMissingNode() && concurrent > reachable) {
      String m =
          "value "
              + concurrent
              + " is not reached by requests with the deadline /limits/defaultDeadlineMs "
              + limits.path("defaultDeadlineMs").asLong()
              + ": with requestsPerSecond "
              + o.path("requestsPerSecond").asText()
              + " at most "
              + (long) reachable
              + " run at the same time";
      add(Section.ORGANISATIONS, path + "/maxConcurrent", m);
    }
    if (o.path("keptBlocks").asInt() > 0
        && !places.isMissingNode()
        && places.path("stores").isEmpty()) {
      String m = "section places has no stores that could keep blocks";
      add(Section.ORGANISATIONS, path + "/keptBlocks", m);
    }
  }

  private void domains(JsonNode places) {
    JsonNode states = places.path("failureDomains");
    long in = 0;
    for (JsonNode s : states) {
      in += s.asText().equals("in") ? 1 : 0;
    }
    if (!states.isEmpty() && in == 0) {
      add(Section.PLACES, "/failureDomains", "all are out, so that no server gets new work");
      return;
    }
    for (Map.Entry<String, JsonNode> s : places.path("stores").properties()) {
      int copies = s.getValue().path("copies").asInt();
      if (copies <= states.size() && copies > in) {
        String m = "value " + copies + " exceeds the number of failure domains that are in, " + in;
        add(Section.PLACES, "/stores/" + s.getKey() + "/copies", m);
      }
    }
  }
}

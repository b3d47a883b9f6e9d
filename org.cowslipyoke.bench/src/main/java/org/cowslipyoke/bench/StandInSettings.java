package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Settings of the simulated platform services; see docs/platform.md. */
final class StandInSettings {

  private static final ObjectMapper JSON = new ObjectMapper();

  private StandInSettings() {}

  static ObjectNode of(String kind, DeploymentSpec spec) {
    ObjectNode settings = JSON.createObjectNode();
    if (kind.equals("engine")) {
      settings.put("cacheBlocks", spec.engineBlocks()).put("model", spec.model());
      settings.put("weightStore", "").put("startCold", spec.startCold());
    }
    return settings;
  }
}

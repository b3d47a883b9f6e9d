package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;

/**
 * Share of work recomputed. A block key names organisation, model, weight version and content, so a
 * key that the engines computed n times was computed again n - 1 times. Counts of an engine that
 * was killed are missing.
 */
final class ReuseMeasure {

  private static final int BLOCK_TOKENS = 1024;

  private ReuseMeasure() {}

  static void writeTo(ObjectNode result, Deployment deployment) {
    Map<String, Long> computations = new HashMap<>();
    for (Deployment.Server server : deployment.servers()) {
      if (server.engine() && server.backend().isAlive()) {
        JsonNode counts = deployment.admin(server.backend(), "/admin/computed").path("computed");
        counts.properties().forEach(c -> merge(computations, c.getKey(), c.getValue().asLong()));
      }
    }
    long again = computations.values().stream().mapToLong(n -> n - 1).sum() * BLOCK_TOKENS;
    long reused = deployment.engineCount("reusedTokens");
    long reusable = again + reused;
    result.put("recomputed_share", reusable == 0 ? 0 : (double) again / reusable);
    result.put("recomputed_tokens", again).put("reusable_tokens", reusable);
  }

  private static void merge(Map<String, Long> computations, String key, long count) {
    computations.merge(key, count, Long::sum);
  }
}

package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Samples the bytes that each store VM moved for each client. The peak share of a link is the
 * largest rate over a second, divided by the configured budget.
 */
final class LinkSampler implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long PERIOD_MS = 1000;

  private final Deployment deployment;
  private final double budgetPerSecond;
  private final Map<String, Long> bytes = new TreeMap<>();
  private final Map<String, Double> peak = new TreeMap<>();
  private long lastNs = System.nanoTime();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread thread = new Thread(r, "links");
            thread.setDaemon(true);
            return thread;
          });

  LinkSampler(Deployment deployment) {
    this.deployment = deployment;
    budgetPerSecond =
        deployment
            .resource("places.json")
            .path("stores")
            .path(deployment.spec().storeGroup())
            .path("linkBytesPerSecond")
            .asDouble();
    var unused =
        timer.scheduleAtFixedRate(this::sample, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  synchronized ArrayNode result() {
    sample();
    ArrayNode links = JSON.createArrayNode();
    bytes.forEach(
        (name, total) ->
            links
                .addObject()
                .put("name", name)
                .put("bytes", total)
                .put("peak_share", peak.getOrDefault(name, 0.0) / budgetPerSecond));
    return links;
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private synchronized void sample() {
    long now = System.nanoTime();
    final double seconds = Math.max(0.1, (now - lastNs) / 1e9);
    lastNs = now;
    for (LocalProcess store : deployment.stores()) {
      for (var link : deployment.stats(store).path("links").properties()) {
        String name = link.getKey() + " " + store.name();
        JsonNode counts = link.getValue();
        long total = counts.path("readBytes").asLong() + counts.path("writtenBytes").asLong();
        long moved = total - bytes.getOrDefault(name, 0L);
        bytes.put(name, total);
        peak.merge(name, moved / seconds, Math::max);
      }
    }
  }
}

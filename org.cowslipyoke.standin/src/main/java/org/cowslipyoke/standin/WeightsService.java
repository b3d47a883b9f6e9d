package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Weight store with limited throughput. A load takes {@code loadMs} while at most {@code slots}
 * engines load, and proportionally longer when more do.
 */
final class WeightsService implements Service {

  static final String DEFAULTS =
      """
      {"models": {}, "anyVersion": true, "loadMs": 2000, "slots": 2}
      """;

  private static final long STEP_MS = 10;

  private final ObjectNode models;
  private final boolean anyVersion;
  private final long loadMs;
  private final int slots;
  private long advancedAtNs = System.nanoTime();

  /** Accumulated service of a hypothetical load since the start, in milliseconds at full rate. */
  private double servedMs;

  private int loading;
  private int maxLoading;
  private long loads;

  WeightsService(JsonSettings settings) {
    this.models = (ObjectNode) settings.node("models").deepCopy();
    this.anyVersion = settings.flag("anyVersion");
    this.loadMs = settings.number("loadMs");
    this.slots = settings.count("slots");
  }

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    switch (x.route()) {
      case "GET /v1/versions" -> x.reply(versions(x.query("model")));
      case "POST /v1/loads" -> {
        JsonNode b = x.json();
        if (!has(b.path("model").asText(), b.path("weightVersion").asText())) {
          x.error(404, "not_found", "no such weights");
          return;
        }
        load();
        x.reply(JsonSettings.JSON.createObjectNode().put("loaded", true));
      }
      default -> x.error(404, "not_found", x.route());
    }
  }

  @Override
  public boolean admin(Exchange x) throws IOException {
    if (!x.route().equals("POST /admin/weights")) {
      return false;
    }
    try {
      JsonNode b = x.json();
      synchronized (this) {
        models.withArray("/" + b.path("model").asText()).add(b.path("weightVersion").asText());
      }
      x.reply(JsonSettings.JSON.createObjectNode().put("ok", true));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return true;
  }

  private synchronized ObjectNode versions(String model) {
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    ArrayNode list = out.putArray("versions");
    models.path(model).forEach(list::add);
    return out.put("loading", loading);
  }

  private synchronized boolean has(String model, String version) {
    for (JsonNode v : models.path(model)) {
      if (v.asText().equals(version)) {
        return true;
      }
    }
    return anyVersion;
  }

  private void load() throws InterruptedException {
    double endMs;
    synchronized (this) {
      advance();
      loads++;
      loading++;
      maxLoading = Math.max(maxLoading, loading);
      endMs = servedMs + loadMs;
    }
    try {
      while (!isServed(endMs)) {
        Thread.sleep(STEP_MS);
      }
    } finally {
      synchronized (this) {
        advance();
        loading--;
      }
    }
  }

  private synchronized boolean isServed(double endMs) {
    advance();
    return servedMs >= endMs;
  }

  /** Adds the service that each load received since the last call. */
  private void advance() {
    long now = System.nanoTime();
    servedMs += (now - advancedAtNs) / 1e6 * Math.min(1.0, (double) slots / Math.max(1, loading));
    advancedAtNs = now;
  }

  @Override
  public synchronized void stats(ObjectNode out) {
    out.put("loads", loads).put("loading", loading).put("maxLoading", maxLoading);
  }
}

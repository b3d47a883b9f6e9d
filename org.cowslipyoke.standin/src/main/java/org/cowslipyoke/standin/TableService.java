package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Transactional table in memory. */
final class TableService implements Service {

  static final String DEFAULTS =
      """
      {"readsPerSecond": 2000, "writesPerSecond": 400, "maxQueueMs": 1000}
      """;

  /** Number of rows of a transaction that cost one unit of the write capacity. */
  private static final int ROWS_PER_WRITE = 50;

  private static final int MAX_VALUE_CHARS = 256 << 10;
  private static final int MAX_KEY_CHARS = 512;

  private record Stored(long version, String value, long expiresAtMs) {}

  private final TreeMap<String, Stored> rows = new TreeMap<>();
  private final RateLimiter readLimiter;
  private final RateLimiter writeLimiter;
  private long reads;
  private long scans;
  private long commits;
  private long rowsWritten;
  private long conflicts;
  private long refused;

  TableService(JsonSettings settings) {
    long queue = settings.number("maxQueueMs");
    readLimiter = new RateLimiter(settings.real("readsPerSecond"), queue);
    writeLimiter = new RateLimiter(settings.real("writesPerSecond"), queue);
  }

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    JsonNode body = x.json();
    boolean commit = x.route().equals("POST /v1/commit");
    int cost = commit ? 1 + (body.path("writes").size() - 1) / ROWS_PER_WRITE : 1;
    if (!(commit ? writeLimiter : readLimiter).admit(cost)) {
      synchronized (this) {
        refused++;
      }
      x.error(503, "store_unavailable", "capacity exceeded");
      return;
    }
    switch (x.route()) {
      case "POST /v1/read" -> x.reply(read(body.path("key").asText()));
      case "POST /v1/scan" ->
          x.reply(scan(body.path("prefix").asText(), body.path("limit").asInt()));
      case "POST /v1/commit" -> x.reply(commit(body.path("writes")));
      default -> x.error(404, "not_found", x.route());
    }
  }

  private synchronized ObjectNode read(String key) {
    reads++;
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    Stored s = live(key);
    if (s == null) {
      out.putNull("row");
    } else {
      put(out.putObject("row"), key, s);
    }
    return out;
  }

  private synchronized ObjectNode scan(String prefix, int limit) {
    scans++;
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    ArrayNode list = out.putArray("rows");
    for (Map.Entry<String, Stored> e : rows.tailMap(prefix, true).entrySet()) {
      if (!e.getKey().startsWith(prefix) || list.size() >= limit) {
        break;
      }
      if (live(e.getKey()) != null) {
        put(list.addObject(), e.getKey(), e.getValue());
      }
    }
    return out;
  }

  private synchronized ObjectNode commit(JsonNode writes) {
    commits++;
    List<String> failed = new ArrayList<>();
    for (JsonNode w : writes) {
      String key = w.path("key").asText();
      if (key.length() > MAX_KEY_CHARS || w.path("value").asText().length() > MAX_VALUE_CHARS) {
        throw new IllegalArgumentException("key or value too long");
      }
      Stored s = live(key);
      if ((s == null ? 0 : s.version()) != w.path("expectedVersion").asLong()) {
        failed.add(key);
      }
    }
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    out.put("status", failed.isEmpty() ? "committed" : "conflict");
    ArrayNode list = out.putArray("conflicts");
    failed.forEach(list::add);
    if (failed.isEmpty()) {
      writes.forEach(this::apply);
    } else {
      conflicts++;
    }
    return out;
  }

  private void apply(JsonNode w) {
    rowsWritten++;
    String key = w.path("key").asText();
    if (!w.path("value").isTextual()) {
      rows.remove(key);
      return;
    }
    long ttl = w.path("ttlMs").asLong();
    long expires = ttl > 0 ? System.currentTimeMillis() + ttl : Long.MAX_VALUE;
    long version = w.path("expectedVersion").asLong() + 1;
    rows.put(key, new Stored(version, w.path("value").asText(), expires));
  }

  private @Nullable Stored live(String key) {
    Stored s = rows.get(key);
    return s == null || s.expiresAtMs() <= System.currentTimeMillis() ? null : s;
  }

  private static void put(ObjectNode out, String key, Stored s) {
    out.put("key", key).put("version", s.version()).put("value", s.value());
  }

  @Override
  public synchronized void stats(ObjectNode out) {
    out.put("reads", reads).put("scans", scans).put("commits", commits);
    out.put("rowsWritten", rowsWritten).put("conflicts", conflicts).put("refused", refused);
    out.put("rows", rows.size());
  }
}

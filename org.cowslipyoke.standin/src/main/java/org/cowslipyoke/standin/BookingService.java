package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cowslipyoke.util.Digests;

/**
 * Plain service that stores bookings in memory. Every POST is executed each time it arrives: the
 * service does not deduplicate requests but counts executions by idempotency key and by body.
 */
final class BookingService implements Service {

  static final String DEFAULTS =
      """
      {"serviceMs": 5}
      """;

  private final long serviceMs;
  private final Map<Long, byte[]> bookings = new LinkedHashMap<>();
  private final Map<String, Integer> byKey = new TreeMap<>();
  private final Map<String, Integer> byBody = new TreeMap<>();
  private final NewWorkCounter newWork = new NewWorkCounter();
  private long lookups;
  private int active;
  private int maxActive;

  BookingService(JsonSettings settings) {
    this.serviceMs = settings.number("serviceMs");
  }

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    synchronized (this) {
      active++;
      maxActive = Math.max(maxActive, active);
      newWork.add();
    }
    try {
      Thread.sleep(serviceMs);
      switch (x.method()) {
        case "POST" -> execute(x);
        case "GET" -> x.reply(lookup(x.path()));
        default -> x.error(404, "not_found", x.route());
      }
    } finally {
      synchronized (this) {
        active--;
      }
    }
  }

  private void execute(Exchange x) throws IOException, InterruptedException {
    byte[] body = x.body();
    String text = x.path() + " " + new String(body, StandardCharsets.UTF_8);
    long id;
    synchronized (this) {
      id = bookings.size() + 1L;
      bookings.put(id, body);
      String key = x.header("Idempotency-Key");
      if (!key.isEmpty()) {
        byKey.merge(key, 1, Integer::sum);
      }
      byBody.merge(Digests.sha256Hex(text), 1, Integer::sum);
    }
    x.reply(201, JsonSettings.JSON.createObjectNode().put("id", id).put("path", x.path()));
  }

  private synchronized ObjectNode lookup(String path) {
    lookups++;
    ObjectNode out = JsonSettings.JSON.createObjectNode().put("path", path);
    if (path.equals("/bookings")) {
      ArrayNode ids = out.putArray("ids");
      bookings.keySet().forEach(ids::add);
    }
    return out;
  }

  @Override
  public synchronized void stats(ObjectNode out) {
    out.put("executions", bookings.size()).put("lookups", lookups).put("maxActive", maxActive);
    ObjectNode keys = out.putObject("byKey");
    byKey.forEach(keys::put);
    ObjectNode bodies = out.putObject("byBody");
    byBody.forEach(bodies::put);
    newWork.write(out);
  }
}

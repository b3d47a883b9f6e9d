package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Object store in memory; an object can be written only once. */
final class ObjectsService implements Service {

  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final AtomicLong puts = new AtomicLong();
  private final AtomicLong gets = new AtomicLong();

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    String key = x.query("key");
    switch (x.route()) {
      case "PUT /v1/object" -> {
        puts.incrementAndGet();
        boolean stored = objects.putIfAbsent(key, x.body()) == null;
        x.reply(JsonSettings.JSON.createObjectNode().put("stored", stored));
      }
      case "GET /v1/object" -> {
        gets.incrementAndGet();
        byte[] b = objects.get(key);
        x.bytes(b == null ? 204 : 200, b == null ? new byte[0] : b);
      }
      default -> x.error(404, "not_found", x.route());
    }
  }

  @Override
  public void stats(ObjectNode out) {
    out.put("puts", puts.get()).put("gets", gets.get()).put("objects", objects.size());
  }
}

package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** VM list that publishes changes after a lag. */
final class VmsService implements Service {

  static final String DEFAULTS =
      """
      {"lagMs": 1000}
      """;

  private static final List<String> FIELDS =
      List.of("vm", "host", "port", "role", "failureDomain", "group", "state");

  private record Change(long atNs, String vm, @Nullable ObjectNode value) {}

  private final Faults faults;
  private final long lagMs;
  private final Map<String, ObjectNode> current = new LinkedHashMap<>();
  private final Map<String, ObjectNode> published = new LinkedHashMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();
  private long finds;
  private long lists;

  VmsService(JsonSettings settings, Faults faults) {
    this.lagMs = settings.number("lagMs");
    this.faults = faults;
  }

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    switch (x.route()) {
      case "GET /v1/vms" -> {
        ArrayNode vms = out.putArray("vms");
        published(true).forEach(vms::add);
        x.reply(out);
      }
      case "GET /v1/vm" -> {
        String name = x.query("vm");
        out.putNull("vm");
        for (ObjectNode v : published(false)) {
          if (v.path("vm").asText().equals(name)) {
            out.set("vm", v);
          }
        }
        x.reply(out);
      }
      default -> x.error(404, "not_found", x.route());
    }
  }

  @Override
  public boolean admin(Exchange x) throws IOException {
    if (!x.route().equals("POST /admin/vms")) {
      return false;
    }
    try {
      register(x.json());
      x.reply(JsonSettings.JSON.createObjectNode().put("ok", true));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return true;
  }

  private synchronized void register(JsonNode given) {
    String vm = given.path("vm").asText();
    if (vm.isEmpty()) {
      throw new IllegalArgumentException("vm is missing");
    }
    if (given.path("removed").asBoolean()) {
      current.remove(vm);
      pending.add(new Change(System.nanoTime(), vm, null));
      return;
    }
    ObjectNode present = current.get(vm);
    ObjectNode next = present == null ? defaults(vm) : present.deepCopy();
    given
        .properties()
        .forEach(
            f -> {
              if (!FIELDS.contains(f.getKey()) && !f.getKey().equals("removed")) {
                throw new IllegalArgumentException("unknown field " + f.getKey());
              }
              if (FIELDS.contains(f.getKey())) {
                next.set(f.getKey(), f.getValue());
              }
            });
    for (String f : FIELDS) {
      if (!next.has(f)) {
        throw new IllegalArgumentException(f + " is missing");
      }
    }
    current.put(vm, next);
    pending.add(new Change(System.nanoTime(), vm, next));
  }

  private static ObjectNode defaults(String vm) {
    return JsonSettings.JSON
        .createObjectNode()
        .put("vm", vm)
        .put("host", "127.0.0.1")
        .put("group", "")
        .put("state", "live");
  }

  private synchronized List<ObjectNode> published(boolean whole) {
    long stale = faults.count("staleMs");
    long lagNs = (stale >= 0 ? stale : lagMs) * 1_000_000;
    long now = System.nanoTime();
    for (Change c = pending.peek(); c != null && now - c.atNs() >= lagNs; c = pending.peek()) {
      if (c.value() == null) {
        published.remove(c.vm());
      } else {
        published.put(c.vm(), c.value());
      }
      pending.remove();
    }
    if (whole) {
      lists++;
    } else {
      finds++;
    }
    return new ArrayList<>(published.values());
  }

  @Override
  public synchronized void stats(ObjectNode out) {
    out.put("finds", finds).put("lists", lists).put("vms", current.size());
  }
}

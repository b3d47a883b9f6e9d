package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Store VM with a memory tier and a slower disk tier. */
final class StoreService implements Service {

  static final String DEFAULTS =
      """
      {"memoryBytes": 67108864, "diskBytes": 268435456, "diskReadMs": 2, "linkBytesPerSecond": 0}
      """;

  private final BlockTable blocks;
  private final Faults faults;
  private final long diskReadMs;
  private final Map<String, long[]> linkBytes = new TreeMap<>();
  private long lookups;
  private long reads;
  private long garbledReads;
  private long refusedFull;

  StoreService(JsonSettings settings, Faults faults) {
    this.faults = faults;
    this.diskReadMs = settings.number("diskReadMs");
    this.blocks = new BlockTable(settings.number("memoryBytes"), settings.number("diskBytes"));
  }

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    switch (x.route()) {
      case "POST /v1/lookup" -> x.reply(lookup(x.json()));
      case "POST /v1/open" -> open(x);
      case "PUT /v1/data" -> {
        byte[] b = x.body();
        count(x.client(), 1, b.length);
        x.reply(flag("written", blocks.write(x.query("key"), generation(x), b)));
      }
      case "POST /v1/seal" -> {
        JsonNode j = x.json();
        boolean sealed =
            blocks.seal(
                j.path("key").asText(),
                j.path("generation").asLong(),
                j.path("length").asInt(),
                j.path("checksum").asLong());
        x.reply(flag("sealed", sealed));
      }
      case "GET /v1/data" -> read(x);
      default -> x.error(404, "not_found", x.route());
    }
  }

  private void open(Exchange x) throws IOException, InterruptedException {
    JsonNode j = x.json();
    int length = j.path("length").asInt();
    if (faults.flag("full") || !blocks.fits(length)) {
      synchronized (this) {
        refusedFull++;
      }
      x.error(507, "overloaded", "store is full");
      return;
    }
    long g = blocks.open(j.path("key").asText(), length);
    x.reply(JsonSettings.JSON.createObjectNode().put("generation", g));
  }

  private void read(Exchange x) throws IOException, InterruptedException {
    synchronized (this) {
      reads++;
    }
    String key = x.query("key");
    long generation = generation(x);
    BlockTable.Entry e = blocks.find(key, generation);
    if (e == null) {
      x.bytes(204, new byte[0]);
      return;
    }
    if (e.onDisk()) {
      Thread.sleep(diskReadMs);
    }
    byte[] b = e.data();
    if (faults.consumeOccurrence("freeUnderReader")) {
      synchronized (this) {
        garbledReads++;
      }
      blocks.remove(key, generation);
      b = b.clone();
      Arrays.fill(b, b.length / 2, b.length, (byte) 0x5a);
    }
    count(x.client(), 0, b.length);
    x.setHeader("X-Generation", Long.toString(generation));
    x.bytes(200, b);
  }

  private synchronized ObjectNode lookup(JsonNode body) {
    lookups++;
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    ArrayNode held = out.putArray("held");
    for (JsonNode k : body.path("keys")) {
      BlockTable.Entry e = blocks.sealed(k.asText());
      if (e != null) {
        held.addObject()
            .put("key", k.asText())
            .put("generation", e.generation())
            .put("length", e.length())
            .put("checksum", e.checksum())
            .put("tier", e.onDisk() ? "disk" : "memory");
      }
    }
    return out;
  }

  private synchronized void count(String link, int direction, int bytes) {
    linkBytes.computeIfAbsent(link, k -> new long[2])[direction] += bytes;
  }

  private static long generation(Exchange x) {
    return Long.parseLong(x.query("generation"));
  }

  private static ObjectNode flag(String name, boolean value) {
    return JsonSettings.JSON.createObjectNode().put(name, value);
  }

  @Override
  public synchronized void stats(ObjectNode out) {
    out.put("lookups", lookups).put("reads", reads).put("garbledReads", garbledReads);
    out.put("refusedFull", refusedFull);
    blocks.stats(out);
    ObjectNode links = out.putObject("links");
    linkBytes.forEach(
        (link, b) -> links.putObject(link).put("readBytes", b[0]).put("writtenBytes", b[1]));
  }
}

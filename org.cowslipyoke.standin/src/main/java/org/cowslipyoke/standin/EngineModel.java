package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.LongConsumer;
import org.cowslipyoke.blocks.BlockChain;
import org.jspecify.annotations.Nullable;

/**
 * Simulation of an engine: runs of the batch share the decode rate and are prefilled one after the
 * other; the engine has a prefix cache and a cold start. All state is guarded by this object;
 * {@link #step} advances it.
 */
final class EngineModel {

  /** Error response to a refused generation. */
  record Refusal(int status, String kind, String message) {}

  private record LoadReport(long atNs, ObjectNode load) {}

  private final JsonSettings settings;
  private final Faults faults;
  private final LongConsumer refuseForMs;
  private final int maxBatch;
  private final PrefixCache cache;
  private final ColdStart cold;
  private final EngineOrders orders;
  private final EngineStats stats = new EngineStats();
  private final Map<String, EngineRun> runs = new LinkedHashMap<>();
  private final List<EngineRun> waiting = new ArrayList<>();
  private final List<EngineRun> batch = new ArrayList<>();
  private final Deque<LoadReport> reports = new ArrayDeque<>();
  private String incarnation = UUID.randomUUID().toString();
  private long lastStepNs = System.nanoTime();

  EngineModel(JsonSettings settings, Faults faults, LongConsumer refuseForMs) {
    this.settings = settings;
    this.faults = faults;
    this.refuseForMs = refuseForMs;
    this.maxBatch = settings.count("maxBatch");
    this.cache =
        new PrefixCache(settings.count("cacheBlocks"), settings.number("eventDelayMs"), faults);
    this.cold =
        new ColdStart(settings.count("coldAllowance"), maxBatch, settings.number("coldGraceMs"));
    this.orders = new EngineOrders(settings);
    if (settings.flag("startCold")) {
      cold.begin();
    }
  }

  /** Queues a run; returns a refusal if it was not accepted, null otherwise. */
  synchronized @Nullable Refusal submit(EngineRun r, String model, String adapter) {
    if (orders.isLoading()) {
      return new Refusal(503, "not_ready", "loading weights");
    }
    if (!orders.serves(model, adapter)) {
      return new Refusal(404, "not_found", "model or adapter not loaded");
    }
    if (runs.containsKey(r.id)) {
      return new Refusal(409, "conflict", "run already exists");
    }
    if (waiting.size() >= settings.count("maxWaiting")) {
      return new Refusal(503, "overloaded", "queue is full");
    }
    runs.put(r.id, r);
    waiting.add(r);
    waiting.sort(Comparator.comparingInt((EngineRun x) -> -x.priority));
    stats.submitted(r);
    if (cold.isCold()) {
      r.startedCold = true;
      if (!cold.addRun()) {
        crash("more runs than the cold-start allowance");
      }
    }
    return null;
  }

  synchronized @Nullable EngineRun find(String id) {
    return runs.get(id);
  }

  synchronized boolean cancel(String id) {
    EngineRun r = runs.get(id);
    if (r == null || r.isOver()) {
      return false;
    }
    waiting.remove(r);
    batch.remove(r);
    r.cancel();
    onRunEnded(r);
    stats.cancelled++;
    return true;
  }

  /** Advances the simulation to the current time. */
  synchronized void step() {
    long now = System.nanoTime();
    double seconds = (now - lastStepNs) / 1e9;
    lastStepNs = now;
    admit();
    double speed = cold.isCold() ? settings.real("coldSpeed") : 1;
    prefill(settings.real("prefillTokensPerSecond") * seconds * speed);
    decode(seconds * speed);
    removeAbandoned();
    recordLoadReport(now);
  }

  private void admit() {
    while (batch.size() < maxBatch && !waiting.isEmpty()) {
      EngineRun r = waiting.remove(0);
      if (containsCrashMarker(r)) {
        crash("request that crashes the engine");
        return;
      }
      startPrefill(r);
      batch.add(r);
      stats.maxBatch = Math.max(stats.maxBatch, batch.size());
    }
  }

  private void startPrefill(EngineRun r) {
    int promptTokens = BlockChain.tokens(r.prompt.length);
    PrefixCache.Hit hit = cache.prefix(r.keys);
    // An engine always computes the last token of the prompt.
    r.reused = Math.min(hit.blocks() * BlockChain.BLOCK_TOKENS, Math.max(0, promptTokens - 1));
    r.recomputed = (int) (promptTokens + r.offset - r.reused);
    r.prefillLeft = r.recomputed;
    r.weightVersion = orders.weightVersion();
    if (hit.corrupt() > 0) {
      r.corruptText();
    }
    int recomputedBlocks = 0;
    for (String k : r.keys.subList(hit.blocks(), r.keys.size())) {
      recomputedBlocks += cache.countComputed(k) ? 1 : 0;
    }
    stats.prefillStarted(r, recomputedBlocks * BlockChain.BLOCK_TOKENS, hit.corrupt());
    r.enter(EngineRun.Phase.PREFILL);
  }

  private void prefill(double tokens) {
    double left = tokens;
    for (EngineRun r : batch) {
      if (r.phase() != EngineRun.Phase.PREFILL) {
        continue;
      }
      double used = Math.min(left, r.prefillLeft);
      r.prefillLeft -= used;
      left -= used;
      if (r.prefillLeft > 0) {
        return;
      }
      if (r.weightVersion.equals(orders.weightVersion())) {
        r.keys.stream().filter(k -> !cache.contains(k)).forEach(k -> cache.add(k, false));
      }
      r.enter(EngineRun.Phase.DECODE);
    }
  }

  private void decode(double seconds) {
    List<EngineRun> active =
        batch.stream().filter(r -> r.phase() == EngineRun.Phase.DECODE).toList();
    double rate = settings.real("decodeTokensPerSecond") / Math.max(1, active.size());
    rate = Math.min(rate, settings.real("decodeTokensPerSecondPerRun"));
    for (EngineRun r : active) {
      r.decodeCredit += rate * seconds;
      long whole = (long) r.decodeCredit;
      r.decodeCredit -= whole;
      stats.generated += r.produce(whole);
      if (r.isComplete()) {
        batch.remove(r);
        r.enter(EngineRun.Phase.ENDED);
        onRunEnded(r);
        stats.completed++;
      }
    }
  }

  private void onRunEnded(EngineRun r) {
    if (r.startedCold) {
      cold.endRun();
    }
  }

  private void removeAbandoned() {
    long keepNs = settings.number("keepRunMs") * 1_000_000;
    List<EngineRun> abandoned = runs.values().stream().filter(r -> r.isAbandoned(keepNs)).toList();
    for (EngineRun r : abandoned) {
      cancel(r.id);
      runs.remove(r.id);
      stats.abandoned++;
    }
  }

  private boolean containsCrashMarker(EngineRun r) {
    String marker = faults.text("crashMarker");
    marker = marker.isEmpty() ? settings.text("crashMarker") : marker;
    return !marker.isEmpty() && new String(r.prompt, StandardCharsets.UTF_8).contains(marker);
  }

  /** Crashes and restarts: runs, cache and loaded weights are lost. */
  synchronized void crash(String reason) {
    stats.crashed(reason);
    restart();
  }

  /** Restarts without notice: runs, cache and loaded weights are lost. */
  synchronized void restart() {
    runs.values().forEach(r -> r.enter(EngineRun.Phase.CRASHED));
    runs.clear();
    waiting.clear();
    batch.clear();
    cache.restart();
    orders.restart();
    incarnation = UUID.randomUUID().toString();
    cold.begin();
    refuseForMs.accept(settings.number("restartMs"));
  }

  /** Becomes cold without a restart; runs continue. */
  synchronized void becomeCold() {
    cache.evictAll();
    runs.values().forEach(r -> r.startedCold = false);
    cold.begin();
  }

  private void recordLoadReport(long now) {
    if (!reports.isEmpty() && now - reports.getLast().atNs() < 50_000_000) {
      return;
    }
    ObjectNode n = JsonSettings.JSON.createObjectNode();
    n.put("incarnation", incarnation).put("cold", cold.isCold());
    n.put("running", batch.size()).put("waiting", waiting.size()).put("maxBatch", maxBatch);
    n.put("prefillTokensPerSecond", settings.real("prefillTokensPerSecond"));
    n.put("decodeTokensPerSecond", settings.real("decodeTokensPerSecond"));
    reports.add(new LoadReport(now, n));
    long lagNs = settings.number("reportLagMs") * 1_000_000;
    while (reports.size() > 1 && reports.peek().atNs() < now - lagNs) {
      reports.remove();
    }
  }

  /** Returns the load report that is current after the configured lag. */
  synchronized ObjectNode loadReport() {
    if (reports.isEmpty()) {
      recordLoadReport(System.nanoTime());
    }
    return reports.getFirst().load();
  }

  synchronized ObjectNode state() {
    ObjectNode out = JsonSettings.JSON.createObjectNode().put("incarnation", incarnation);
    orders.write(out);
    return out;
  }

  synchronized EngineOrders.Result order(JsonNode order, LongConsumer startLoad) {
    EngineOrders.Result result = orders.begin(order);
    if (result == EngineOrders.Result.ACCEPTED && orders.isLoading()) {
      startLoad.accept(orders.loadSerial());
    }
    return result;
  }

  /** Transfers weights and activates them; blocks, so it is called on its own thread. */
  void runLoad(JsonNode order, long serial) throws InterruptedException {
    boolean done = orders.transfer(order);
    synchronized (this) {
      if (orders.finishLoad(order, serial, done)) {
        cache.evictAll();
      }
    }
  }

  synchronized byte @Nullable [] exportBlock(String key) {
    if (!cache.contains(key)) {
      return null;
    }
    stats.exported++;
    String version = cache.isCorrupt(key) ? "corrupt" : orders.weightVersion();
    return KvBytes.of(key, version, blockBytes());
  }

  synchronized boolean importBlock(String key, byte[] bytes) {
    if (bytes.length != blockBytes()) {
      stats.corruptImports++;
      return false;
    }
    boolean corrupt = !KvBytes.matches(bytes, key, orders.weightVersion());
    stats.imported++;
    stats.corruptImports += corrupt ? 1 : 0;
    cache.add(key, corrupt);
    return true;
  }

  private int blockBytes() {
    return settings.count("kvBytesPerToken") * BlockChain.BLOCK_TOKENS;
  }

  synchronized ObjectNode cached() {
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    cache.writeKeys(out);
    return out;
  }

  synchronized ObjectNode computed() {
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    cache.writeComputed(out);
    return out;
  }

  synchronized ObjectNode events(long after) {
    ObjectNode out = JsonSettings.JSON.createObjectNode();
    cache.writeEvents(after, out);
    return out;
  }

  synchronized void stats(ObjectNode out) {
    out.put("incarnation", incarnation).put("cachedBlocks", cache.size());
    out.put("running", batch.size()).put("waiting", waiting.size()).put("runs", runs.size());
    stats.write(out);
    cold.stats(out);
    orders.write(out);
    orders.stats(out);
  }
}

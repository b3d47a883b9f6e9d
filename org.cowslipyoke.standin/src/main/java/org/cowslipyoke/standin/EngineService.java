package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** HTTP interface of the simulated model engine. */
final class EngineService implements Service {

  static final String DEFAULTS =
      """
      {"model": "default", "weightVersion": "v1", "adapters": [], "engineRole": "both",
       "prefillTokensPerSecond": 16000.0, "decodeTokensPerSecond": 800.0,
       "decodeTokensPerSecondPerRun": 40.0, "maxBatch": 16, "maxWaiting": 256,
       "cacheBlocks": 256, "kvBytesPerToken": 16,
       "startCold": true, "coldAllowance": 2, "coldGraceMs": 1500, "coldSpeed": 0.5,
       "restartMs": 500, "weightStore": "", "weightLoadMs": 2000, "adapterLoadMs": 200,
       "fencing": "enforced", "reportLagMs": 1000, "eventDelayMs": 300, "keepRunMs": 30000,
       "crashMarker": ""}
      """;

  private static final Logger LOG = LogManager.getLogger(EngineService.class);

  private static final long STEP_MS = 5;

  /** Interval at which a stream without new tokens sends an empty line. */
  private static final long KEEP_ALIVE_MS = 500;

  private final EngineModel model;
  private final ScheduledExecutorService steps;

  EngineService(JsonSettings settings, Faults faults, LongConsumer refuseForMs) {
    this.model = new EngineModel(settings, faults, refuseForMs);
    this.steps =
        Executors.newScheduledThreadPool(
            4,
            r -> {
              Thread t = new Thread(r, "engine");
              t.setDaemon(true);
              return t;
            });
    var unused = steps.scheduleWithFixedDelay(this::step, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
  }

  /** Runs one step. Logs exceptions, because an exception would cancel the periodic task. */
  private void step() {
    try {
      model.step();
    } catch (RuntimeException e) {
      LOG.error("step of the engine model failed", e);
    }
  }

  @Override
  public void handle(Exchange x) throws IOException, InterruptedException {
    switch (x.route()) {
      case "POST /v1/generate" -> generate(x);
      case "POST /v1/resume" -> resume(x);
      case "POST /v1/cancel" ->
          x.reply(flag("cancelled", model.cancel(x.json().path("runId").asText())));
      case "POST /v1/order" -> order(x);
      case "GET /v1/block" -> {
        byte[] b = model.exportBlock(x.query("key"));
        x.bytes(b == null ? 204 : 200, b == null ? new byte[0] : b);
      }
      case "PUT /v1/block" ->
          x.reply(flag("imported", model.importBlock(x.query("key"), x.body())));
      case "GET /v1/cache" -> x.reply(model.cached());
      case "GET /v1/cache/events" -> x.reply(model.events(Long.parseLong(x.query("after"))));
      case "GET /v1/load" -> x.reply(model.loadReport());
      case "GET /v1/state" -> x.reply(model.state());
      default -> x.error(404, "not_found", x.route());
    }
  }

  @Override
  public boolean admin(Exchange x) throws IOException {
    if (!x.route().equals("GET /admin/computed")) {
      return false;
    }
    try {
      x.reply(model.computed());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return true;
  }

  private void generate(Exchange x) throws IOException, InterruptedException {
    JsonNode body = x.json();
    EngineRun run = new EngineRun(body);
    EngineModel.Refusal refusal =
        model.submit(run, body.path("model").asText(), body.path("adapter").asText());
    if (refusal != null) {
      x.error(refusal.status(), refusal.kind(), refusal.message());
      return;
    }
    streamTokens(x, run, run.offset);
  }

  private void resume(Exchange x) throws IOException, InterruptedException {
    JsonNode body = x.json();
    EngineRun run = model.find(body.path("runId").asText());
    long from = body.path("offset").asLong();
    if (run == null || from < run.offset) {
      x.error(404, "not_found", "no such run or offset");
      return;
    }
    streamTokens(x, run, from);
  }

  private void streamTokens(Exchange x, EngineRun run, long from)
      throws IOException, InterruptedException {
    run.addReader();
    try {
      OutputStream out = x.stream();
      long at = from;
      boolean sawStart = false;
      while (true) {
        EngineRun.Snapshot v = run.await(at, sawStart, KEEP_ALIVE_MS);
        if (v.phase() == EngineRun.Phase.CRASHED || x.isSilent()) {
          abortStream(x);
          return;
        }
        boolean over = v.phase() == EngineRun.Phase.ENDED;
        out.write(lines(run, v, at, sawStart, over));
        at = Math.max(at, v.produced());
        sawStart = v.started();
        if (over) {
          out.close();
          return;
        }
      }
    } finally {
      run.removeReader();
    }
  }

  /** Resets the connection of a crashed engine; leaves a silent connection open. */
  private static void abortStream(Exchange x) {
    if (!x.isSilent()) {
      x.reset();
    }
  }

  private static byte[] lines(
      EngineRun run, EngineRun.Snapshot v, long from, boolean sawStart, boolean over) {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    if (v.started() && !sawStart) {
      line(b, run.startLine());
    }
    for (long i = from; i < v.produced(); i++) {
      line(b, JsonSettings.JSON.createObjectNode().put("offset", i).put("piece", run.piece(i)));
    }
    if (over) {
      line(b, run.endLine());
    }
    if (b.size() == 0) {
      b.write('\n');
    }
    return b.toByteArray();
  }

  private static void line(ByteArrayOutputStream b, ObjectNode n) {
    b.writeBytes(n.toString().getBytes(StandardCharsets.UTF_8));
    b.write('\n');
  }

  private void order(Exchange x) throws IOException, InterruptedException {
    JsonNode order = x.json();
    EngineOrders.Result result =
        model.order(order, serial -> steps.execute(() -> load(order, serial)));
    switch (result) {
      case ACCEPTED -> x.reply(model.state());
      case OUTDATED -> x.error(409, "conflict", "outdated fencing number");
      default -> x.error(400, "invalid_request", "unknown kind of order");
    }
  }

  private void load(JsonNode order, long serial) {
    try {
      model.runLoad(order, serial);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void faultsChanged(JsonNode given) {
    switch (given.path("coldStart").asText()) {
      case "restart" -> model.restart();
      case "silent" -> model.becomeCold();
      default -> {
        // Other switches are read where they take effect.
      }
    }
  }

  @Override
  public void stats(ObjectNode out) {
    model.stats(out);
  }

  @Override
  public void close() {
    steps.shutdownNow();
  }

  private static ObjectNode flag(String name, boolean value) {
    return JsonSettings.JSON.createObjectNode().put(name, value);
  }
}

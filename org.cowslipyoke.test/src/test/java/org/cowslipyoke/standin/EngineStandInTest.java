package org.cowslipyoke.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpModelEngine;
import org.cowslipyoke.platform.ModelEngine.CacheEvent;
import org.cowslipyoke.platform.ModelEngine.CacheEvents;
import org.cowslipyoke.platform.ModelEngine.Generation;
import org.cowslipyoke.platform.ModelEngine.Order;
import org.cowslipyoke.platform.ModelEngine.State;
import org.cowslipyoke.platform.ModelEngine.TokenSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {

  private static final String FAST =
      "\"decodeTokensPerSecond\": 8000.0, \"decodeTokensPerSecondPerRun\": 2000.0,"
          + " \"restartMs\": 20, \"eventDelayMs\": 0, \"reportLagMs\": 0";

  private final HttpConnector connector =
      HttpConnector.start("test", HttpConnector.Limits.defaults());
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final List<StandIn> standIns = new ArrayList<>();

  private StandIn start(StandInKind kind, String settings) {
    StandIn s = StandIn.start(kind, settings);
    standIns.add(s);
    return s;
  }

  private HttpModelEngine client(StandIn s) {
    return new HttpModelEngine(connector, s.baseUri(), 3_000);
  }

  @AfterEach
  void closeAll() {
    pool.shutdownNow();
    connector.close();
    standIns.forEach(StandIn::close);
  }

  private static State stateOf(HttpModelEngine e) {
    return e.state().getOrElseThrow(f -> new AssertionError(f.toString()));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition not met within 10 s");
      Thread.onSpinWait();
    }
  }

  private static Generation generation(String run, String text, int max) {
    byte[] p = text.getBytes(StandardCharsets.UTF_8);
    List<BlockKey> keys = BlockChain.keys("org", "default", "v1", "", p);
    return new Generation(run, "default", "", p, new byte[0], 0, keys, max, 0);
  }

  private static final class Text implements TokenSink {
    final StringBuilder text = new StringBuilder();

    @Override
    public void started(String weightVersion, int reusedTokens, int recomputedTokens) {}

    @Override
    public boolean token(long offset, String piece) {
      text.append(piece);
      return true;
    }
  }

  /** Guards against an engine that tolerates full load while cold, hiding excess load. */
  @Test
  void crashesEngineOnTooManyRunsDuringColdStart() {
    StandIn s = start(StandInKind.ENGINE, "{\"coldAllowance\": 2, \"coldGraceMs\": 0}");
    HttpModelEngine e = client(s);
    final String before = e.state().get().incarnation();
    List<Future<?>> calls = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Generation g = generation("r" + i, "prompt " + i, 60);
      calls.add(pool.submit(() -> e.generate(g, new Text())));
    }
    assertEquals(3, calls.size());
    await(() -> s.stats().path("crashes").asInt() == 1);
    assertTrue(s.stats().path("maxConcurrencyWhileCold").asInt() >= 3);
    await(() -> e.state().isRight());
    assertNotEquals(before, e.state().get().incarnation());
  }

  /** Guards against an engine that never warms up when its load grows within the allowance. */
  @Test
  void warmsUpWithinAllowance() {
    StandIn s = start(StandInKind.ENGINE, "{\"maxBatch\": 4, \"coldAllowance\": 1, " + FAST + "}");
    HttpModelEngine e = client(s);
    assertTrue(e.load().get().cold());
    for (int i = 0; i < 3; i++) {
      assertTrue(e.generate(generation("r" + i, "p", 3), new Text()).isRight());
    }
    await(() -> !e.load().get().cold());
    assertEquals(0, s.stats().path("crashes").asInt());
  }

  /** Guards against a crash switch that has no effect or affects other prompts. */
  @Test
  void crashesEngineOnlyOnPromptWithMarker() {
    StandIn s = start(StandInKind.ENGINE, "{\"crashMarker\": \"POISON\", " + FAST + "}");
    HttpModelEngine e = client(s);
    assertTrue(e.generate(generation("r1", "fine", 3), new Text()).isRight());
    assertTrue(e.generate(generation("r2", "a POISON b", 3), new Text()).isLeft());
    assertEquals(1, s.stats().path("crashes").asInt());
  }

  /** Guards against corrupt block content that does not change the answer. */
  @Test
  void changesAnswerAfterImportOfCorruptBlock() {
    StandIn s = start(StandInKind.ENGINE, "{" + FAST + "}");
    HttpModelEngine e = client(s);
    Generation g = generation("r1", "x".repeat(5000), 20);
    assertTrue(e.importBlock(g.blockKeys().get(0), new byte[16 << 10]).get());
    Text t = new Text();
    assertTrue(e.generate(g, t).isRight());
    assertNotEquals(AnswerText.of(g.prompt()).text(0, 20), t.text.toString());
    assertEquals(1, s.stats().path("corruptBlocksUsed").asInt());
  }

  /** Guards against fault switches that leave cache events complete and in order. */
  @Test
  void losesAndReordersCacheEvents() {
    StandIn s = start(StandInKind.ENGINE, "{" + FAST + "}");
    HttpModelEngine e = client(s);
    s.setFaults("{\"loseEvents\": 1, \"reorderEvents\": true}");
    assertTrue(e.generate(generation("r1", "x".repeat(3 * 4096), 2), new Text()).isRight());
    CacheEvents events = e.cacheEvents(0).get();
    assertEquals(List.of(3L, 2L), events.events().stream().map(CacheEvent::sequence).toList());
    assertEquals(3, e.cachedBlocks().get().size());
  }

  /** Guards against a run that is never removed after its reader has disconnected. */
  @Test
  void dropsAbandonedRun() {
    StandIn s = start(StandInKind.ENGINE, "{\"keepRunMs\": 50, " + FAST + "}");
    HttpModelEngine e = client(s);
    assertTrue(e.generate(generation("r1", "p", 3), new Text()).isRight());
    await(() -> s.stats().path("runs").asInt() == 0);
    assertTrue(e.resume("r1", 0, new Text()).isLeft());
  }

  /** Guards against a cancelled run that continues to use the engine. */
  @Test
  void endsCancelledRun() {
    StandIn s = start(StandInKind.ENGINE, "{}");
    HttpModelEngine e = client(s);
    Future<?> call = pool.submit(() -> e.generate(generation("r1", "p", 300), new Text()));
    await(() -> s.stats().path("running").asInt() == 1);
    assertTrue(e.cancel("r1").get());
    await(call::isDone);
    assertEquals(0, s.stats().path("running").asInt());
    assertTrue(!e.cancel("r1").get());
  }

  /**
   * Guards against an engine that refuses outdated orders although its fencing is off; tests could
   * then not show whether callers read back the state after an order.
   */
  @Test
  void executesOutdatedOrderWhenFencingIsIgnored() {
    StandIn s =
        start(StandInKind.ENGINE, "{\"fencing\": \"ignored\", \"weightLoadMs\": 10, " + FAST + "}");
    HttpModelEngine e = client(s);
    assertTrue(e.order(new Order("load", "default", "", "v3", ""), 7).isRight());
    assertTrue(e.order(new Order("load", "default", "", "v2", ""), 6).isRight());
    await(() -> !stateOf(e).loading());
    assertEquals("v2", e.state().get().weightVersion());
    assertEquals(1, s.stats().path("ordersOutdated").asInt());
  }

  /**
   * Guards against concurrent loads from the weight store that do not slow each other down: by
   * default the store transfers the weights of two loads in {@code loadMs}, whenever they start.
   */
  @Test
  void sharesWeightStoreRateAmongFourLoads() {
    StandIn weights = start(StandInKind.WEIGHTS, "{\"loadMs\": 300}");
    List<HttpModelEngine> engines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String settings = "{\"weightStore\": \"" + weights.baseUri() + "\", " + FAST + "}";
      engines.add(client(start(StandInKind.ENGINE, settings)));
    }
    final long from = System.nanoTime();
    engines.forEach(
        e -> assertTrue(e.order(new Order("load", "default", "", "v2", ""), 1).isRight()));
    await(() -> engines.stream().allMatch(e -> stateOf(e).weightVersion().equals("v2")));
    assertTrue(System.nanoTime() - from >= 600_000_000L);
  }

  /** Guards against a misspelt setting or switch that is ignored silently. */
  @Test
  void rejectsUnknownSettingsAndSwitches() {
    assertThrows(
        IllegalArgumentException.class,
        () -> StandIn.start(StandInKind.ENGINE, "{\"maxBach\": 1}"));
    StandIn s = start(StandInKind.TABLE, "{}");
    assertThrows(IllegalArgumentException.class, () -> s.setFaults("{\"outrage\": \"refuse\"}"));
    assertThrows(IllegalArgumentException.class, () -> s.setFaults("{\"delayMs\": \"1\"}"));
  }
}

package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.platform.ModelEngine.Generation;
import org.cowslipyoke.platform.ModelEngine.Order;
import org.cowslipyoke.platform.ModelEngine.TokenSink;
import org.cowslipyoke.standin.AnswerText;
import org.cowslipyoke.standin.StandIn;
import org.cowslipyoke.standin.StandInKind;
import org.junit.jupiter.api.Test;

class EngineClientTest extends HttpFixture {

  private static final String FAST =
      """
      {"decodeTokensPerSecond": 4000.0, "decodeTokensPerSecondPerRun": 1000.0,
       "startCold": false, "reportLagMs": 0, "eventDelayMs": 0, "weightLoadMs": 50,
       "restartMs": 50}
      """;

  private final StandIn standIn = start(StandInKind.ENGINE, FAST);
  private final HttpModelEngine engine =
      new HttpModelEngine(connector, standIn.baseUri(), TIMEOUT_MS);

  /** Collects a stream and checks that its offsets have no gap. */
  static class Collected implements TokenSink {
    final StringBuilder text = new StringBuilder();
    final long stopAt;
    long next;
    int reused = -1;
    int recomputed = -1;

    Collected(long from, long stopAt) {
      this.next = from;
      this.stopAt = stopAt;
    }

    @Override
    public void started(String weightVersion, int reusedTokens, int recomputedTokens) {
      reused = reusedTokens;
      recomputed = recomputedTokens;
    }

    @Override
    public boolean token(long offset, String piece) {
      assertEquals(next, offset);
      next++;
      text.append(piece);
      return next < stopAt;
    }
  }

  private static byte[] prompt(int bytes) {
    return "a horse ".repeat(bytes / 8).getBytes(StandardCharsets.UTF_8);
  }

  private static Generation generation(String run, byte[] prompt, long offset, int max) {
    List<BlockKey> keys = BlockChain.keys("org", "default", "v1", "", prompt);
    byte[] prefix = AnswerText.of(prompt).text(0, offset).getBytes(StandardCharsets.UTF_8);
    return new Generation(run, "default", "", prompt, prefix, offset, keys, max, 0);
  }

  /** Guards against lost, repeated or changed tokens, in a whole answer and a continued one. */
  @Test
  void answerAndContinuationAreTheTextOfThePrompt() {
    byte[] p = prompt(64);
    AnswerText expected = AnswerText.of(p);
    Collected all = new Collected(0, Long.MAX_VALUE);
    var end = engine.generate(generation("r1", p, 0, 60), all).get();
    assertEquals(60, end.tokenCount());
    assertEquals("length", end.finishReason());
    assertEquals(expected.text(0, 60), all.text.toString());
    Collected rest = new Collected(25, Long.MAX_VALUE);
    assertEquals(60, engine.generate(generation("r2", p, 25, 60), rest).get().tokenCount());
    assertEquals(expected.text(25, 60), rest.text.toString());
  }

  /** Guards against a run that dies with its reader. */
  @Test
  void runGoesOnWithoutReaderAndIsResumedByOffset() {
    byte[] p = prompt(64);
    Collected part = new Collected(0, 10);
    var left = engine.generate(generation("r1", p, 0, 60), part);
    assertEquals(ErrorKind.CANCELLED, left.getLeft().kind());
    Collected rest = new Collected(10, Long.MAX_VALUE);
    assertEquals(60, engine.resume("r1", 10, rest).get().tokenCount());
    assertEquals(AnswerText.of(p).text(0, 60), part.text.toString() + rest.text);
    assertEquals(1, standIn.stats().path("submitted").asInt());
    assertEquals(ErrorKind.NOT_FOUND, engine.resume("r9", 0, rest).getLeft().kind());
  }

  /** Guards against reuse that the engine does not report, or reports without having it. */
  @Test
  void secondTurnReusesTheBlocksOfTheFirst() {
    byte[] p = prompt(3 * 4096);
    Collected first = new Collected(0, Long.MAX_VALUE);
    engine.generate(generation("r1", p, 0, 2), first).get();
    assertEquals(0, first.reused);
    assertEquals(3072, first.recomputed);
    Collected second = new Collected(0, Long.MAX_VALUE);
    engine.generate(generation("r2", prompt(4 * 4096), 0, 2), second).get();
    assertEquals(3072, second.reused);
    assertEquals(1024, second.recomputed);
    assertEquals(4, engine.cachedBlocks().get().size());
    assertEquals(4, engine.cacheEvents(0).get().events().size());
  }

  /** Guards against an imported block whose content differs from the exported one. */
  @Test
  void exportedBlockCanBeImportedElsewhere() {
    byte[] p = prompt(2 * 4096);
    Generation g = generation("r1", p, 0, 2);
    engine.generate(g, new Collected(0, Long.MAX_VALUE)).get();
    StandIn other = start(StandInKind.ENGINE, FAST);
    HttpModelEngine target = new HttpModelEngine(connector, other.baseUri(), TIMEOUT_MS);
    for (BlockKey k : g.blockKeys()) {
      byte[] bytes = engine.exportBlock(k).get().orElseThrow();
      assertEquals(16 * 1024, bytes.length);
      assertTrue(target.importBlock(k, bytes).get());
      assertArrayEquals(bytes, target.exportBlock(k).get().orElseThrow());
    }
    Collected c = new Collected(0, Long.MAX_VALUE);
    target.generate(generation("r2", p, 0, 60), c).get();
    assertEquals(2047, c.reused);
    assertEquals(AnswerText.of(p).text(0, 60), c.text.toString());
    BlockKey absent = BlockChain.keys("x", "default", "v1", "", p).get(0);
    assertTrue(target.exportBlock(absent).get().isEmpty());
  }

  /** Guards against an order with an old number, and against work on weights being loaded. */
  @Test
  void orderLoadsWeightsAndOldNumberIsRefused() {
    Order load = new Order("load", "default", "", "v2", "");
    assertTrue(engine.order(load, 5).get().loading());
    Generation g = generation("r1", prompt(64), 0, 5);
    var refused = engine.generate(g, new Collected(0, 9)).getLeft();
    assertEquals(ErrorKind.NOT_READY, refused.kind());
    await(() -> !engine.state().get().loading());
    assertEquals("v2", engine.state().get().weightVersion());
    assertEquals(5, engine.state().get().fencingNumber());
    assertEquals(ErrorKind.CONFLICT, engine.order(load, 4).getLeft().kind());
  }

  /** Guards against a broken stream that passes for a whole answer. */
  @Test
  void crashInMidStreamIsIncomplete() {
    StandIn s = start(StandInKind.ENGINE, "{\"startCold\": false, \"restartMs\": 50}");
    HttpModelEngine e = new HttpModelEngine(connector, s.baseUri(), TIMEOUT_MS);
    final String before = e.state().get().incarnation();
    Collected c =
        new Collected(0, Long.MAX_VALUE) {
          @Override
          public boolean token(long offset, String piece) {
            s.setFaults("{\"coldStart\": \"restart\"}");
            return super.token(offset, piece);
          }
        };
    assertEquals(
        ErrorKind.INCOMPLETE, e.generate(generation("r1", prompt(64), 0, 60), c).getLeft().kind());
    await(() -> e.state().isRight());
    assertTrue(!before.equals(e.state().get().incarnation()));
  }

  /** Guards against "may have run" where no byte was sent. */
  @Test
  void refusedConnectionIsNotRun() {
    refuse(standIn);
    var f = engine.generate(generation("r1", prompt(64), 0, 5), new Collected(0, 9)).getLeft();
    assertEquals(ErrorKind.NO_SERVER, f.kind());
  }

  /** Guards against a stream that waits without end on a silent connection. */
  @Test
  void silentStreamEndsAndTheRunIsResumed() {
    HttpModelEngine quick = new HttpModelEngine(connector, standIn.baseUri(), 700);
    byte[] p = prompt(64);
    Collected part =
        new Collected(0, Long.MAX_VALUE) {
          @Override
          public boolean token(long offset, String piece) {
            if (offset == 0) {
              standIn.setFaults("{\"silent\": \"open\"}");
            }
            return super.token(offset, piece);
          }
        };
    var f = quick.generate(generation("r1", p, 0, 60), part).getLeft();
    assertEquals(ErrorKind.INCOMPLETE, f.kind());
    Collected rest = new Collected(part.next, Long.MAX_VALUE);
    assertEquals(60, quick.resume("r1", part.next, rest).get().tokenCount());
    assertEquals(AnswerText.of(p).text(0, 60), part.text.toString() + rest.text);
  }

  /** Guards against answers that are too long or not JSON. */
  @Test
  void oversizeAndMalformedAnswersAreRefused() {
    standIn.setFaults("{\"oversizeAnswers\": 1}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, engine.state().getLeft().kind());
    standIn.setFaults("{\"malformedAnswers\": 1}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, engine.load().getLeft().kind());
    assertTrue(engine.load().isRight());
  }
}

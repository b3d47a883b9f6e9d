package org.cowslipyoke.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.daemon.entry.ChatRequest.Turn;
import org.junit.jupiter.api.Test;

/** Guards against renderings that make the blocks of a returning conversation useless. */
class PromptRendererTest {

  private static List<BlockKey> keys(byte[] text) {
    return BlockChain.keys("a", "m", "v", "", text);
  }

  @Test
  void nextTurnContinuesTheBlocksOfPromptAndAnswer() {
    Turn first = new Turn("user", "x".repeat(3 * BlockChain.BLOCK_BYTES) + "é");
    String answer = "y".repeat(2 * BlockChain.BLOCK_BYTES);
    byte[] prompt = PromptRenderer.render(List.of(first));
    byte[] engine =
        (new String(prompt, StandardCharsets.UTF_8) + answer).getBytes(StandardCharsets.UTF_8);
    List<Turn> next = List.of(first, new Turn("assistant", answer), new Turn("user", "more"));
    List<BlockKey> held = keys(engine);
    assertEquals(held, keys(PromptRenderer.render(next)).subList(0, held.size()));
    assertArrayEquals(PromptRenderer.opening(List.of(first)), PromptRenderer.opening(next));
  }
}

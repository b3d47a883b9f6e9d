package org.cowslipyoke.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.daemon.entry.ChatRequest.ChatMessage;
import org.junit.jupiter.api.Test;

/** Guards against prompts whose blocks cannot be reused by the next request of the conversation. */
class PromptRendererTest {

  private static List<BlockKey> keys(byte[] text) {
    return BlockChain.keys("a", "m", "v", "", text);
  }

  @Test
  void nextRequestReusesTheBlocksOfPromptAndAnswer() {
    ChatMessage first = new ChatMessage("user", "x".repeat(3 * BlockChain.BLOCK_BYTES) + "é");
    String answer = "y".repeat(2 * BlockChain.BLOCK_BYTES);
    byte[] prompt = PromptRenderer.render(List.of(first));
    byte[] engine =
        (new String(prompt, StandardCharsets.UTF_8) + answer).getBytes(StandardCharsets.UTF_8);
    List<ChatMessage> next =
        List.of(first, new ChatMessage("assistant", answer), new ChatMessage("user", "more"));
    List<BlockKey> cachedKeys = keys(engine);
    assertEquals(cachedKeys, keys(PromptRenderer.render(next)).subList(0, cachedKeys.size()));
    assertArrayEquals(
        PromptRenderer.conversationPrefix(List.of(first)), PromptRenderer.conversationPrefix(next));
  }
}

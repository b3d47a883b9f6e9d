package org.cowslipyoke.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.cowslipyoke.blocks.BlockChain;

/**
 * Renders a conversation to the text that the engine continues. The prompt ends where an answer
 * begins, and the answer in the next request's history renders to the same bytes, so the block
 * chain of the longer conversation continues that of the shorter one.
 */
final class PromptRenderer {

  private PromptRenderer() {}

  /** Returns the prompt, UTF-8. */
  static byte[] render(List<ChatRequest.Turn> messages) {
    StringBuilder s = new StringBuilder();
    messages.forEach(m -> append(s, m));
    return s.append("<|assistant|>\n").toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the bytes that tell conversations apart: the text up to the first user message, at most
   * one block. They stay the same as the conversation grows.
   */
  static byte[] opening(List<ChatRequest.Turn> messages) {
    StringBuilder s = new StringBuilder();
    for (ChatRequest.Turn m : messages) {
      append(s, m);
      if (m.role().equals("user")) {
        break;
      }
    }
    byte[] b = s.toString().getBytes(StandardCharsets.UTF_8);
    return Arrays.copyOf(b, Math.min(b.length, BlockChain.BLOCK_BYTES));
  }

  private static void append(StringBuilder s, ChatRequest.Turn m) {
    s.append("<|").append(m.role()).append("|>\n").append(m.content()).append('\n');
  }
}

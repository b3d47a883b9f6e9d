package org.cowslipyoke.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.cowslipyoke.blocks.BlockChain;

/**
 * Renders a conversation as the prompt of the engine. The prompt ends where the assistant message
 * begins, and that message renders to the same bytes in the history of the next request. The block
 * keys of the shorter conversation are therefore a prefix of those of the longer one.
 */
final class PromptRenderer {

  private PromptRenderer() {}

  /** Returns the prompt in UTF-8. */
  static byte[] render(List<ChatRequest.ChatMessage> messages) {
    StringBuilder s = new StringBuilder();
    messages.forEach(m -> append(s, m));
    return s.append("<|assistant|>\n").toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the bytes that identify a conversation: the text up to and including the first user
   * message, at most one block. They do not change as the conversation grows.
   */
  static byte[] conversationPrefix(List<ChatRequest.ChatMessage> messages) {
    StringBuilder s = new StringBuilder();
    for (ChatRequest.ChatMessage m : messages) {
      append(s, m);
      if (m.role().equals("user")) {
        break;
      }
    }
    byte[] b = s.toString().getBytes(StandardCharsets.UTF_8);
    return Arrays.copyOf(b, Math.min(b.length, BlockChain.BLOCK_BYTES));
  }

  private static void append(StringBuilder s, ChatRequest.ChatMessage m) {
    s.append("<|").append(m.role()).append("|>\n").append(m.content()).append('\n');
  }
}

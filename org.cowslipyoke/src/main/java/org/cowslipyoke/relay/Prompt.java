package org.cowslipyoke.relay;

import java.util.List;

/**
 * The prompt of a request as the request describes it.
 *
 * @param promptTokens length of the prompt in tokens
 * @param answerTokens maximum length of the answer in tokens
 * @param expectedAnswerTokens length of the answer that the caller expects, in tokens
 * @param parts parts of the prompt in order; the last one is unique to the request
 */
public record Prompt(
    String model, int promptTokens, int answerTokens, int expectedAnswerTokens, List<Part> parts) {

  /** Returns the parts that other prompts may share, in order. */
  public List<Part> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /**
   * A part of a prompt that other prompts may share.
   *
   * @param id identifies the content
   */
  public record Part(String id, int tokens) {}
}

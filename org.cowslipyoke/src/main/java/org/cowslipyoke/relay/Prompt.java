package org.cowslipyoke.relay;

import java.util.List;

/**
 * What a request tells about its prompt.
 *
 * @param promptTokens tokens to read
 * @param answerTokens largest number of tokens to write
 * @param expectedAnswerTokens number of tokens that the caller expects
 * @param parts parts of the prompt in order; the last one belongs to the request alone
 */
public record Prompt(
    String model, int promptTokens, int answerTokens, int expectedAnswerTokens, List<Part> parts) {

  /**
   * A part of a prompt that other prompts may share.
   *
   * @param id name of its content
   */
  public record Part(String id, int tokens) {}
}

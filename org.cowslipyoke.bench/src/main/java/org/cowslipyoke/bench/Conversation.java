package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** A conversation that grows by one question and one answer at each turn. */
final class Conversation {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Bytes of a block of 1,024 tokens of 4 bytes each. */
  private static final int BLOCK_BYTES = 4096;

  private static final int BLOCK_TOKENS = 1024;

  private static final String[] WORDS = {
    "stall", "paddock", "farrier", "arena", "turnout", "hay", "mare", "gelding", "saddle",
    "midday", "booking", "stable", "vet", "groom", "trailer", "lesson", "hoof", "rain"
  };

  private final String id;
  private final String organisation;
  private final Random random;
  private final ArrayNode messages = JSON.createArrayNode();
  private long sentBytes;
  private long reusableBytes;

  Conversation(String id, String organisation, int historyBytes, long seed) {
    this.id = id;
    this.organisation = organisation;
    random = new Random(seed);
    String history = "History of " + id + ". " + text(historyBytes);
    messages.addObject().put("role", "system").put("content", history);
    sentBytes = history.length();
  }

  String id() {
    return id;
  }

  String organisation() {
    return organisation;
  }

  /** Adds a question and returns a copy of the messages to send. */
  ArrayNode ask(String question) {
    messages.addObject().put("role", "user").put("content", question);
    sentBytes += bytes(question);
    return messages.deepCopy();
  }

  /** Adds a question of about this many bytes. */
  ArrayNode ask(int questionBytes) {
    return ask(text(questionBytes));
  }

  /** Adds a whole answer; the prompt up to here can be reused by the next turn. */
  void answered(String answer) {
    reusableBytes = sentBytes;
    messages.addObject().put("role", "assistant").put("content", answer);
    sentBytes += bytes(answer);
  }

  /** Removes the last question, which was not answered. */
  void retract() {
    sentBytes -= bytes(messages.remove(messages.size() - 1).path("content").asText());
  }

  /** Returns the tokens in whole blocks that an earlier turn computed. */
  long reusableTokens() {
    return reusableBytes / BLOCK_BYTES * BLOCK_TOKENS;
  }

  private String text(int bytes) {
    StringBuilder text = new StringBuilder(bytes + 16);
    while (text.length() < bytes) {
      text.append(WORDS[random.nextInt(WORDS.length)]).append(' ').append(random.nextInt(1000));
      text.append(random.nextInt(12) == 0 ? ". " : " ");
    }
    return text.toString();
  }

  private static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}

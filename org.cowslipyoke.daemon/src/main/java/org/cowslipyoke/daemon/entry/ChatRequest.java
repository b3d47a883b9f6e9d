package org.cowslipyoke.daemon.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * Body of {@code POST /v1/chat/completions}.
 *
 * @param maxTokens limit of generated tokens, 0 if the body gives none
 */
record ChatRequest(String model, List<ChatMessage> messages, boolean stream, int maxTokens) {

  /** Maximum nesting depth of the JSON body. */
  static final int MAX_DEPTH = 32;

  private static final int MAX_MESSAGES = 10_000;
  private static final List<String> ROLES = List.of("system", "user", "assistant", "tool");
  private static final ObjectMapper JSON =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** A message of a conversation. */
  record ChatMessage(String role, String content) {}

  /**
   * Parses a body.
   *
   * @return the request, {@code TOO_LARGE} if it is nested too deeply, or {@code INVALID_REQUEST}
   */
  static Either<Failure, ChatRequest> parse(byte[] body) {
    JsonNode root;
    try {
      root = JSON.readTree(body);
    } catch (StreamConstraintsException e) {
      return Either.left(
          Failure.of(
              ErrorKind.TOO_LARGE,
              "the body exceeds a limit of the JSON parser, such as the nesting depth"));
    } catch (IOException e) {
      return invalid("the body is not valid JSON");
    }
    if (root == null || !root.isObject() || !root.path("model").isTextual()) {
      return invalid("the body must be a JSON object with a string in model");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      return invalid("stream must be true or false");
    }
    JsonNode max = root.path("max_tokens");
    if (!max.isMissingNode() && (!max.canConvertToInt() || !max.isInt() || max.asInt() < 1)) {
      return invalid("max_tokens must be an integer of at least 1");
    }
    String model = root.path("model").asText();
    return parseMessages(root.path("messages"))
        .map(t -> new ChatRequest(model, t, stream.asBoolean(), max.asInt(0)));
  }

  private static Either<Failure, List<ChatMessage>> parseMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty() || messages.size() > MAX_MESSAGES) {
      return invalid("messages must be an array of 1 to " + MAX_MESSAGES + " messages");
    }
    List<ChatMessage> parsed = new ArrayList<>(messages.size());
    for (JsonNode m : messages) {
      String role = m.path("role").asText();
      JsonNode content = m.path("content");
      if (!ROLES.contains(role) || !content.isTextual()) {
        return invalid("each message must have a role of " + ROLES + " and a string in content");
      }
      parsed.add(new ChatMessage(role, content.asText()));
    }
    return Either.right(List.copyOf(parsed));
  }

  private static <T> Either<Failure, T> invalid(String message) {
    return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, message));
  }
}

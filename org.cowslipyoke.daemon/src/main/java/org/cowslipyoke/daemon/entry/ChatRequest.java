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
 * @param maxTokens limit of the answer, 0 if the body has none
 */
record ChatRequest(String model, List<Turn> messages, boolean stream, int maxTokens) {

  /** Deepest nesting of a body. */
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

  /** A message of the conversation. */
  record Turn(String role, String content) {}

  /** Parses a body. */
  static Either<Failure, ChatRequest> parse(byte[] body) {
    JsonNode root;
    try {
      root = JSON.readTree(body);
    } catch (StreamConstraintsException e) {
      return Either.left(Failure.of(ErrorKind.TOO_LARGE, "the body exceeds a limit of nesting"));
    } catch (IOException e) {
      return invalid("the body is not valid JSON");
    }
    if (root == null || !root.isObject() || !root.path("model").isTextual()) {
      return invalid("the body must be an object with a text in model");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      return invalid("stream must be true or false");
    }
    JsonNode max = root.path("max_tokens");
    if (!max.isMissingNode() && (!max.canConvertToInt() || !max.isInt() || max.asInt() < 1)) {
      return invalid("max_tokens must be a whole number of at least 1");
    }
    String model = root.path("model").asText();
    return turns(root.path("messages"))
        .map(t -> new ChatRequest(model, t, stream.asBoolean(), max.asInt(0)));
  }

  private static Either<Failure, List<Turn>> turns(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty() || messages.size() > MAX_MESSAGES) {
      return invalid("messages must be an array of 1 to " + MAX_MESSAGES + " messages");
    }
    List<Turn> turns = new ArrayList<>(messages.size());
    for (JsonNode m : messages) {
      String role = m.path("role").asText();
      JsonNode content = m.path("content");
      if (!ROLES.contains(role) || !content.isTextual()) {
        return invalid("each message must have a role of " + ROLES + " and a text in content");
      }
      turns.add(new Turn(role, content.asText()));
    }
    return Either.right(List.copyOf(turns));
  }

  private static <T> Either<Failure, T> invalid(String message) {
    return Either.left(Failure.of(ErrorKind.INVALID_REQUEST, message));
  }
}

package org.cowslipyoke.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Result;

/** Reads one streamed answer (server-sent events) and the times of its pieces. */
final class AnswerReader {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final CompletableFuture<Answer> result = new CompletableFuture<>();
  private final long startMs = nowMs();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder raw = new StringBuilder();
  private final StringBuilder text = new StringBuilder();
  private final List<Long> gapsMs = new ArrayList<>();
  private long firstMs = -1;
  private long lastMs;
  private long reusedTokens = -1;
  private boolean done;
  private String errorKind = "";
  private String outcome = "";

  CompletableFuture<Answer> result() {
    return result;
  }

  void content(ByteBuffer content) {
    while (content.hasRemaining()) {
      byte b = content.get();
      if (b == '\n') {
        line(line.toString(StandardCharsets.UTF_8).strip());
        line.reset();
      } else {
        line.write(b);
      }
    }
  }

  void completed(Result http) {
    if (line.size() > 0) {
      line(line.toString(StandardCharsets.UTF_8).strip());
    }
    int status = http.getResponse() == null ? 0 : http.getResponse().getStatus();
    if (status != 200 && errorKind.isEmpty()) {
      parseError(raw.toString(), status);
    } else if (http.isFailed() && errorKind.isEmpty()) {
      errorKind = "broken_stream";
      outcome = "unknown";
    } else if (!done && errorKind.isEmpty()) {
      errorKind = "ended_early";
    }
    result.complete(
        new Answer(
            status,
            done,
            text.toString(),
            firstMs < 0 ? -1 : firstMs - startMs,
            List.copyOf(gapsMs),
            reusedTokens,
            errorKind,
            outcome));
  }

  private void line(String value) {
    if (!value.startsWith("data:")) {
      raw.append(value);
      return;
    }
    String data = value.substring("data:".length()).strip();
    if (data.equals("[DONE]")) {
      done = true;
      return;
    }
    try {
      event(JSON.readTree(data));
    } catch (JsonProcessingException e) {
      errorKind = "malformed_event";
    }
  }

  private void event(JsonNode event) {
    if (event.has("error")) {
      error(event.path("error"));
      return;
    }
    JsonNode usage = event.path("usage");
    JsonNode cached = usage.path("prompt_tokens_details").path("cached_tokens");
    if (cached.isNumber()) {
      reusedTokens = cached.asLong();
    }
    String piece = event.path("choices").path(0).path("delta").path("content").asText("");
    if (piece.isEmpty()) {
      return;
    }
    long now = nowMs();
    if (firstMs < 0) {
      firstMs = now;
    } else {
      gapsMs.add(now - lastMs);
    }
    lastMs = now;
    text.append(piece);
  }

  private void parseError(String body, int status) {
    try {
      error(JSON.readTree(body).path("error"));
    } catch (JsonProcessingException e) {
      errorKind = "";
    }
    if (errorKind.isEmpty()) {
      errorKind = "status_" + status;
    }
  }

  private void error(JsonNode error) {
    errorKind = error.path("kind").asText("error");
    outcome = error.path("outcome").asText("");
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}

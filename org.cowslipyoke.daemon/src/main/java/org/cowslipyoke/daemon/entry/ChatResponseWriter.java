package org.cowslipyoke.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.request.Completion;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * Writes a chat completion as one JSON body, or as server-sent events whose ids are token offsets.
 */
final class ChatResponseWriter implements ResponseSink {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Heap of the text that is collected from the server, by the size of the text: its pieces, and
   * the array of its bytes, which is doubled as it grows.
   */
  private static final int COLLECTED_FACTOR = 3;

  /** Heap of a response that is written at once: the joined text, its JSON and the bytes of it. */
  private static final int COMPLETE_FACTOR = 4;

  private final ResponseWriter writer;
  private final String requestId;
  private final String model;
  private final boolean stream;
  private final int promptTokens;
  private final long skipTokens;
  private boolean bodyStarted;

  ChatResponseWriter(
      ResponseWriter writer,
      String requestId,
      String model,
      boolean stream,
      int promptTokens,
      long skipTokens) {
    this.writer = writer;
    this.requestId = requestId;
    this.model = model;
    this.stream = stream;
    this.promptTokens = promptTokens;
    this.skipTokens = skipTokens;
  }

  /** Returns the JSON that is recorded for a request with an idempotency key. */
  static byte[] encode(Completion completion) {
    try {
      return JSON.writeValueAsBytes(completion);
    } catch (IOException e) {
      throw new IllegalStateException("a completion cannot be written as JSON", e);
    }
  }

  @Override
  public void started(String server, int reusedTokens) {
    HttpFields.Mutable headers = writer.response().getHeaders();
    headers.put(Headers.REQUEST_ID, requestId);
    headers.put(Headers.SERVER, server);
    headers.put(Headers.REUSED_TOKENS, Integer.toString(reusedTokens));
    if (stream) {
      headers.put(HttpHeader.CONTENT_TYPE, "text/event-stream");
      headers.put(HttpHeader.CACHE_CONTROL, "no-store");
    } else {
      headers.put(HttpHeader.CONTENT_TYPE, "application/json");
    }
  }

  @Override
  public void relay(long offset, List<String> pieces) {
    long characters = pieces.stream().mapToLong(String::length).sum();
    int factor = COLLECTED_FACTOR + (stream ? 0 : COMPLETE_FACTOR);
    if (writer.reserve(factor * characters) && stream) {
      event(offset + pieces.size(), delta(String.join("", pieces), null));
    }
  }

  @Override
  public void finish(Completion completion) {
    int tokens = completion.pieces().size();
    if (stream) {
      ObjectNode last = delta("", completion.finishReason());
      last.set("usage", usage(tokens, completion.reusedTokens()));
      event(tokens, last);
      writer.end("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
      return;
    }
    // The request may have ended on another server than the one it started on.
    writer.response().getHeaders().put(Headers.SERVER, completion.server());
    ObjectNode root = root("chat.completion");
    ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
    choice
        .putObject("message")
        .put("role", "assistant")
        .put("content", String.join("", completion.pieces()));
    choice.put("finish_reason", completion.finishReason());
    root.set("usage", usage(tokens, completion.reusedTokens()));
    writer.end(bytes(root));
  }

  @Override
  public void reply(String server, ServiceReply reply) {
    throw new IllegalStateException("a model request received the response of a plain service");
  }

  @Override
  public void replay(byte[] recorded) {
    Completion c;
    try {
      c = JSON.readValue(recorded, Completion.class);
    } catch (IOException e) {
      refuse(Failure.of(ErrorKind.INTERNAL, "the recorded completion cannot be parsed"));
      return;
    }
    started(c.server(), c.reusedTokens());
    int skip = (int) Math.min(skipTokens, c.pieces().size());
    if (skip < c.pieces().size()) {
      relay(skip, c.pieces().subList(skip, c.pieces().size()));
    }
    finish(c);
  }

  @Override
  public void refuse(Failure failure) {
    if (!bodyStarted) {
      writer.writeError(failure, requestId);
      return;
    }
    String data = ResponseWriter.errorBody(failure, requestId).toString();
    writer.end(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private void event(long nextOffset, ObjectNode data) {
    bodyStarted = true;
    String text = "id: " + nextOffset + "\ndata: " + data + "\n\n";
    writer.write(text.getBytes(StandardCharsets.UTF_8));
  }

  private ObjectNode delta(String content, @Nullable String reason) {
    ObjectNode root = root("chat.completion.chunk");
    ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (reason == null) {
      delta.put("content", content);
    }
    choice.put("finish_reason", reason);
    return root;
  }

  private ObjectNode root(String object) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", requestId)
        .put("object", object)
        .put("model", model);
  }

  private ObjectNode usage(int completionTokens, int reusedTokens) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", completionTokens)
        .put("total_tokens", promptTokens + completionTokens)
        .put("cached_tokens", reusedTokens);
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}

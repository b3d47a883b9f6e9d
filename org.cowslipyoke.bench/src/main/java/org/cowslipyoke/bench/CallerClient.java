package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A caller of the entries: sends chat requests and reads the streamed answers. */
final class CallerClient implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_CONNECTIONS = 2048;

  /** Above the deadline that requests carry, so that the entry's answer arrives first. */
  private static final long TIMEOUT_MS = 40_000;

  private final HttpClient client = new HttpClient();

  CallerClient() {
    QueuedThreadPool threads = new QueuedThreadPool(16);
    threads.setName("caller");
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setFollowRedirects(false);
    try {
      client.start();
    } catch (Exception e) {
      throw new BenchException("cannot start the HTTP client: " + e);
    }
  }

  /** A prompt of one organisation. */
  record Prompt(
      String key,
      String model,
      String conversation,
      ArrayNode messages,
      int maxTokens,
      String priority,
      long deadlineMs) {}

  /** Sends a prompt; the result never fails, a broken answer is in its fields. */
  CompletableFuture<Answer> ask(String entry, Prompt prompt) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", prompt.model()).put("stream", true).put("max_tokens", prompt.maxTokens());
    body.set("messages", prompt.messages());
    AnswerReader reader = new AnswerReader();
    client
        .newRequest(entry + "/v1/chat/completions")
        .method(HttpMethod.POST)
        .headers(
            h -> {
              h.put("Authorization", "Bearer " + prompt.key());
              h.put("X-Conversation-Id", prompt.conversation());
              h.put("X-Priority", prompt.priority());
              h.put("X-Deadline-Ms", Long.toString(prompt.deadlineMs()));
            })
        .body(new StringRequestContent("application/json", body.toString()))
        .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .onResponseContent((response, content) -> reader.content(content))
        .send(reader::completed);
    return reader.result();
  }

  /** Sends another request and returns status and body. */
  Reply call(HttpMethod method, String url, String body, String... headers) {
    try {
      Request request = client.newRequest(url).method(method).timeout(10, TimeUnit.SECONDS);
      for (int i = 0; i + 1 < headers.length; i += 2) {
        String name = headers[i];
        String value = headers[i + 1];
        request.headers(h -> h.put(name, value));
      }
      if (!body.isEmpty()) {
        request.body(new StringRequestContent("application/json", body));
      }
      var response = request.send();
      return new Reply(response.getStatus(), response.getContentAsString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted");
    } catch (Exception e) {
      return new Reply(0, String.valueOf(e.getMessage()));
    }
  }

  /** Status and body of a plain request; status 0 if there was no response. */
  record Reply(int status, String body) {}

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new BenchException("cannot stop the HTTP client: " + e);
    }
  }
}

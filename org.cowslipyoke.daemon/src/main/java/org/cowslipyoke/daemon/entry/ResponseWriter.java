package org.cowslipyoke.daemon.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipyoke.daemon.relay.CallerBudget;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.CallerMemory;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes an HTTP response asynchronously in parts. One write is in progress at a time; further
 * parts wait in a bounded queue.
 */
final class ResponseWriter {

  /** Limit of bytes queued for a slow caller; the response fails when it is exceeded. */
  static final int MAX_QUEUED_BYTES = 1 << 20;

  /**
   * Size of a part that is written even if the memory is used up, in bytes; those of streams and
   * errors have less.
   */
  private static final int UNLIMITED_BYTES = 4 << 10;

  private record Part(byte[] bytes, boolean last, boolean charged) {}

  private final Response response;
  private final Callback completion;
  private final Runnable onCallerGone;
  private final CallerMemory.Holding memory;
  private final Deque<Part> queue = new ArrayDeque<>();
  private int queuedBytes;
  private boolean writing;
  private boolean ended;
  private boolean failed;

  /**
   * Creates a writer.
   *
   * @param onCallerGone called once, when writing to the caller has failed
   */
  ResponseWriter(Response response, Callback completion, Runnable onCallerGone) {
    this.response = response;
    this.completion = completion;
    this.onCallerGone = onCallerGone;
    this.memory = CallerBudget.holding(response.getRequest());
  }

  Response response() {
    return response;
  }

  /**
   * Acquires memory for text that is kept until the response ends. The response fails if there is
   * none.
   */
  boolean reserve(long bytes) {
    if (memory.tryAcquire(bytes)) {
      return true;
    }
    fail(new IllegalStateException("the memory for responses is used up"));
    return false;
  }

  /** Queues a part of the body. */
  void write(byte[] bytes) {
    enqueue(bytes, false);
  }

  /** Queues the last part of the body; completes the exchange once it is written. */
  void end(byte[] bytes) {
    enqueue(bytes, true);
  }

  /** Writes an error as the complete response; call only before any part of the body. */
  void writeError(Failure failure, String requestId) {
    response.setStatus(failure.kind().status());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(Headers.REQUEST_ID, requestId);
    if (failure.retryAfterMs() > 0 || failure.kind().retryable()) {
      long seconds = Math.max(1, (failure.retryAfterMs() + 999) / 1_000);
      response.getHeaders().put(new HttpField(HttpHeader.RETRY_AFTER, Long.toString(seconds)));
    }
    end(errorBody(failure, requestId).toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the JSON body of an error. */
  static ObjectNode errorBody(Failure failure, String requestId) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.putObject("error")
        .put("kind", failure.kind().wireName())
        .put("message", failure.message())
        .put("outcome", failure.outcome().wireName())
        .put("request_id", requestId);
    return root;
  }

  /** Queues a part; memory is acquired without the lock, as that may evict other requests. */
  private void enqueue(byte[] bytes, boolean last) {
    boolean charged = memory.tryAcquire(bytes.length);
    boolean overflow;
    synchronized (queue) {
      if (failed || ended) {
        return;
      }
      ended = last;
      queuedBytes += bytes.length;
      overflow = queuedBytes > MAX_QUEUED_BYTES && writing;
      overflow |= !charged && (writing || bytes.length > UNLIMITED_BYTES);
      queue.add(new Part(bytes, last, charged));
      if (writing && !overflow) {
        return;
      }
    }
    if (overflow) {
      fail(
          new IllegalStateException(
              "the caller reads too slowly: too many bytes of the response are queued"));
    } else {
      writeNext();
    }
  }

  private void writeNext() {
    Part part;
    synchronized (queue) {
      if (failed || writing || queue.isEmpty()) {
        return;
      }
      part = queue.remove();
      queuedBytes -= part.bytes().length;
      writing = true;
    }
    memory.watch(r -> fail(new IllegalStateException("the caller does not read: " + r)));
    response.write(
        part.last(),
        ByteBuffer.wrap(part.bytes()),
        Callback.from(() -> onWritten(part), this::fail));
  }

  private void onWritten(Part part) {
    memory.unwatch();
    if (part.charged()) {
      memory.release(part.bytes().length);
    }
    synchronized (queue) {
      writing = false;
    }
    if (part.last()) {
      completion.succeeded();
    } else {
      writeNext();
    }
  }

  private void fail(Throwable cause) {
    synchronized (queue) {
      if (failed) {
        return;
      }
      failed = true;
      queue.clear();
    }
    completion.failed(cause);
    onCallerGone.run();
  }
}

package org.cowslipyoke.http.internal;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.ResponseBuffer;
import org.cowslipyoke.http.ResponseMemoryBudget;
import org.cowslipyoke.util.MalformedResponseException;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Buffers a response up to a maximum size; aborts the exchange if the response exceeds it or the
 * memory for responses is used up.
 */
public final class ResponseCollector implements Response.Listener {

  private final int maxBytes;
  private final ResponseBuffer body;
  private final CompletableFuture<Result> done = new CompletableFuture<>();
  private final int requestBytes;
  private volatile boolean tooLarge;
  private volatile boolean cutShort;

  /**
   * Creates a collector for a body.
   *
   * @param maxBytes maximum size of the body
   * @param memory budget of all bodies that are buffered at the same time
   * @param requestBytes length of the body of the request
   */
  public ResponseCollector(int maxBytes, ResponseMemoryBudget memory, int requestBytes) {
    this.maxBytes = maxBytes;
    this.requestBytes = requestBytes;
    this.body = new ResponseBuffer(memory, maxBytes);
  }

  @Override
  public void onHeaders(Response response) {
    int status = response.getStatus();
    if (!HttpConnector.isAnswerStatus(status)) {
      var unused = response.abort(new MalformedResponseException("status " + status));
    } else if (response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
      abortTooLarge(response);
    }
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    ServerConnections.countContent(response, content.remaining());
    if (!body.add(content)) {
      abortTooLarge(response);
    }
  }

  @Override
  public void onSuccess(Response response) {
    cutShort = HttpConnector.isCutShort(response, requestBytes);
  }

  @Override
  public void onComplete(Result result) {
    try {
      done.complete(result);
    } finally {
      body.release();
    }
  }

  /** Returns a future that completes when the exchange ends, whether it succeeds or fails. */
  public CompletableFuture<Result> done() {
    return done;
  }

  /** Returns the buffered body. */
  public byte[] body() {
    return body.toByteArray();
  }

  /** Returns whether the response exceeded the maximum size. */
  public boolean isTooLarge() {
    return tooLarge;
  }

  /** Returns whether the response may be a part of one, although it ended without a failure. */
  public boolean isCutShort() {
    return cutShort;
  }

  private void abortTooLarge(Response response) {
    tooLarge = true;
    var unused =
        response.abort(
            new IllegalStateException(
                "response exceeds " + maxBytes + " bytes or the memory for responses"));
  }
}

package org.cowslipyoke.http.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;

/** Buffers a response up to a maximum size; aborts the exchange if the response exceeds it. */
public final class ResponseCollector implements Response.Listener {

  private final int maxBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final CompletableFuture<Result> done = new CompletableFuture<>();
  private volatile boolean tooLarge;

  /** Creates a collector for a body of at most {@code maxBytes} bytes. */
  public ResponseCollector(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public void onHeaders(Response response) {
    if (response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
      abortTooLarge(response);
    }
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    ServerConnections.countContent(response, content.remaining());
    if (body.size() + content.remaining() > maxBytes) {
      abortTooLarge(response);
      return;
    }
    byte[] b = new byte[content.remaining()];
    content.get(b);
    body.writeBytes(b);
  }

  @Override
  public void onComplete(Result result) {
    done.complete(result);
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

  private void abortTooLarge(Response response) {
    tooLarge = true;
    var unused =
        response.abort(new IllegalStateException("response exceeds " + maxBytes + " bytes"));
  }
}

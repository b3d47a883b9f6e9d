package org.cowslipyoke.http.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;

/** Collects an answer up to a bound; an answer above the bound aborts the exchange. */
public final class AnswerCollector implements Response.Listener {

  private final int maxBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final CompletableFuture<Result> done = new CompletableFuture<>();
  private volatile boolean tooLarge;

  /** Creates a collector of at most {@code maxBytes} bytes. */
  public AnswerCollector(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public void onHeaders(Response response) {
    if (response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
      refuse(response);
    }
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    ServerConnections.countContent(response, content.remaining());
    if (body.size() + content.remaining() > maxBytes) {
      refuse(response);
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

  /** Returns the end of the exchange. */
  public CompletableFuture<Result> done() {
    return done;
  }

  /** Returns the collected bytes. */
  public byte[] body() {
    return body.toByteArray();
  }

  /** Returns whether the answer exceeded the bound. */
  public boolean isTooLarge() {
    return tooLarge;
  }

  private void refuse(Response response) {
    tooLarge = true;
    var unused = response.abort(new IllegalStateException("answer exceeds " + maxBytes + " bytes"));
  }
}

package org.cowslipyoke.daemon.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** The caller's end of one request: writes its answer and tells when the caller left. */
final class CallerSide {

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final RelayDialect dialect;
  private final boolean closing;
  private final AtomicBoolean done = new AtomicBoolean();

  /**
   * Creates the end of one request.
   *
   * @param closing whether the connection ends with this answer
   */
  CallerSide(
      Request request,
      Response response,
      Callback callback,
      RelayDialect dialect,
      boolean closing) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.dialect = dialect;
    this.closing = closing;
  }

  HttpFields headers() {
    return request.getHeaders();
  }

  /** Calls back when the caller closes its connection before the answer ends. */
  void watch(Runnable left) {
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof WatchedEndPoint w) {
      w.watch(left);
    }
  }

  /** Returns whether the answer has ended or was given up. */
  boolean isDone() {
    return done.get();
  }

  /** Sends a whole answer. */
  void whole(int status, HttpFields headers, byte[] body) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    head(status, headers);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Sets the head of a streamed answer. */
  void head(int status, HttpFields headers) {
    response.setStatus(status);
    for (HttpField f : headers) {
      response.getHeaders().add(f);
    }
    if (closing) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  /** Writes a part of a streamed answer. */
  void part(byte[] bytes, Callback written) {
    if (done.get()) {
      written.failed(new IllegalStateException("answer has ended"));
      return;
    }
    response.write(false, ByteBuffer.wrap(bytes), written);
  }

  /** Ends a streamed answer. */
  void end(byte[] rest) {
    if (done.compareAndSet(false, true)) {
      response.write(true, ByteBuffer.wrap(rest), callback);
    }
  }

  /** Ends the connection in the middle of an answer, so that it doesn't look whole. */
  void cut(Throwable cause) {
    if (done.compareAndSet(false, true)) {
      callback.failed(cause);
    }
  }

  /** Sends an answer of the entry's own. */
  void failure(Failure f, @Nullable String requestId) {
    boolean mayRepeat = f.outcome() == Outcome.NOT_RUN && f.retryAfterMs() > 0;
    HttpFields headers = dialect.ownAnswerHeaders(requestId, mayRepeat ? f.retryAfterMs() : 0);
    String json =
        String.format(
            "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\",\"outcome\":\"%s\"}}",
            f.kind().wireName(), f.message().replace('"', '\''), f.outcome().wireName());
    whole(f.kind().status(), headers, json.getBytes(StandardCharsets.UTF_8));
  }
}

package org.cowslipyoke.daemon.relay;

import java.io.ByteArrayOutputStream;
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

  /** Bytes of a stream that wait for a caller to read; several times a whole answer of today. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final RelayDialect dialect;
  private final boolean closing;
  private final AtomicBoolean done = new AtomicBoolean();
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private volatile Runnable left = () -> {};
  private boolean writing;
  private boolean ending;

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
    this.left = left;
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof WatchedEndPoint w) {
      w.watch(left);
    }
  }

  /** Sends a whole answer. */
  void whole(int status, HttpFields headers, byte[] body) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    head(status, headers);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /**
   * Sets the head of a streamed answer. Its end is marked by the last chunk also where the
   * connection ends after it, so that a broken answer does not look whole.
   */
  void streamHead(int status, HttpFields headers) {
    head(status, headers);
    response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
  }

  private void head(int status, HttpFields headers) {
    response.setStatus(status);
    for (HttpField f : headers) {
      response.getHeaders().add(f);
    }
    if (closing) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  /**
   * Writes a part of a streamed answer. Parts that come while one is being written are collected,
   * up to {@link #MAX_PENDING_BYTES}, and written together.
   *
   * @return false if the caller reads so slowly that the bound is exceeded
   */
  boolean part(byte[] bytes) {
    synchronized (pending) {
      if (done.get() || ending) {
        return true;
      }
      if (pending.size() + bytes.length > MAX_PENDING_BYTES) {
        return false;
      }
      pending.writeBytes(bytes);
    }
    writeNext();
    return true;
  }

  /** Ends a streamed answer after its last bytes. */
  void end(byte[] rest) {
    synchronized (pending) {
      pending.writeBytes(rest);
      ending = true;
    }
    writeNext();
  }

  private void writeNext() {
    byte[] next;
    boolean last;
    synchronized (pending) {
      if (writing || done.get() || (pending.size() == 0 && !ending)) {
        return;
      }
      next = pending.toByteArray();
      pending.reset();
      last = ending;
      writing = !last;
      if (last && !done.compareAndSet(false, true)) {
        return;
      }
    }
    if (last) {
      response.write(true, ByteBuffer.wrap(next), callback);
    } else {
      response.write(false, ByteBuffer.wrap(next), Callback.from(this::written, this::notWritten));
    }
  }

  private void written() {
    synchronized (pending) {
      writing = false;
    }
    writeNext();
  }

  private void notWritten(Throwable cause) {
    left.run();
    cut(cause);
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
    HttpFields headers = dialect.ownResponseHeaders(requestId, mayRepeat ? f.retryAfterMs() : 0);
    String json =
        String.format(
            "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\",\"outcome\":\"%s\"}}",
            f.kind().wireName(), f.message().replace('"', '\''), f.outcome().wireName());
    whole(f.kind().status(), headers, json.getBytes(StandardCharsets.UTF_8));
  }
}

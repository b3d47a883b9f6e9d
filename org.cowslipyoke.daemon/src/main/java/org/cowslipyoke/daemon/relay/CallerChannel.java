package org.cowslipyoke.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.relay.CallerMemory;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.jspecify.annotations.Nullable;

/**
 * The caller's side of one request: writes the response and reports when the caller disconnects.
 */
final class CallerChannel {

  /**
   * Maximum bytes of a stream that are buffered for a slow caller; several times the size of a
   * complete response.
   */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  /**
   * Size of a complete response that is sent even if the memory is used up, in bytes; those of
   * services that run no model have 800 bytes.
   */
  private static final int UNLIMITED_BYTES = 4 << 10;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final RelayDialect dialect;
  private final boolean closing;
  private final RequestBody body;
  private final CallerMemory.Holding memory;
  private final AtomicBoolean done = new AtomicBoolean();
  private final AtomicBoolean completed = new AtomicBoolean();
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private volatile Runnable left = () -> {};
  private boolean writing;
  private boolean ending;

  /** Bytes of a stream whose memory is acquired, of which some are being written. */
  private int acquired;

  /**
   * Creates the caller's side of one request.
   *
   * @param closing whether the connection is closed after this response
   */
  CallerChannel(
      Request request,
      Response response,
      Callback callback,
      RelayDialect dialect,
      boolean closing,
      RequestBody body,
      CallerMemory.Holding memory) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.dialect = dialect;
    this.closing = closing;
    this.body = body;
    this.memory = memory;
  }

  HttpFields headers() {
    return request.getHeaders();
  }

  /**
   * Registers a callback for the case that the caller closes its connection before the response
   * ends.
   */
  void watch(Runnable left) {
    this.left = left;
    if (done.get()) {
      return;
    }
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof ReadAheadEndPoint w) {
      w.watch(left);
    }
  }

  /**
   * Sends the complete response of a server. The connection is closed if there is no memory to hold
   * the response until the caller has read it.
   *
   * @param size size of the content in bytes
   * @param bytes returns the content, called if there is memory
   */
  void sendComplete(int status, HttpFields headers, int size, Supplier<byte[]> bytes) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    left = () -> {};
    memory.unwatch();
    body.releaseMemory();
    if (!memory.tryAcquire(size) && size > UNLIMITED_BYTES) {
      fail(new IllegalStateException("the memory for responses is used up"));
      return;
    }
    head(status, headers);
    if (size > ResponseWriter.PART_BYTES) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, size);
    }
    memory.watch(r -> fail(new IllegalStateException("the caller does not read: " + r)));
    new ResponseWriter(bytes.get()).iterate();
  }

  /** Writes a response in parts, because the JVM copies each part to memory outside the heap. */
  private final class ResponseWriter extends IteratingCallback {

    private static final int PART_BYTES = 64 << 10;

    private final ByteBuffer content;
    private int part;
    private boolean lastWritten;

    ResponseWriter(byte[] content) {
      this.content = ByteBuffer.wrap(content);
    }

    @Override
    protected Action process() {
      memory.transferred(part);
      if (lastWritten) {
        return Action.SUCCEEDED;
      }
      part = Math.min(PART_BYTES, content.remaining());
      ByteBuffer next = content.slice(content.position(), part);
      content.position(content.position() + part);
      lastWritten = !content.hasRemaining();
      response.write(lastWritten, next, this);
      return Action.SCHEDULED;
    }

    @Override
    protected void onCompleteSuccess() {
      complete();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
      fail(cause);
    }
  }

  /** Ends the request after its response was written and the rest of its body was discarded. */
  private void complete() {
    if (body.isEnded()) {
      succeed();
      return;
    }
    memory.watchRequest(r -> fail(new IllegalStateException("the rest of the body is late: " + r)));
    body.discard(Callback.from(this::succeed, this::fail));
  }

  private void succeed() {
    if (completed.compareAndSet(false, true)) {
      callback.succeeded();
    }
  }

  private void fail(Throwable cause) {
    if (completed.compareAndSet(false, true)) {
      callback.failed(cause);
    }
  }

  /**
   * Sets the head of a streamed response. The response is chunked even if the connection is closed
   * after it, so that a truncated response does not look complete.
   */
  void startStream(int status, HttpFields headers) {
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
   * Writes part of a streamed response. Bytes that arrive during a write are buffered, up to {@link
   * #MAX_PENDING_BYTES}, and written together.
   *
   * @return false if the caller reads so slowly that the limit is exceeded
   */
  boolean sendPart(byte[] bytes) {
    boolean buffered;
    synchronized (pending) {
      if (done.get() || ending) {
        return true;
      }
      if (pending.size() + bytes.length > MAX_PENDING_BYTES) {
        return false;
      }
      buffered = writing;
    }
    if (buffered && !memory.tryAcquire(bytes.length)) {
      return false;
    }
    synchronized (pending) {
      pending.writeBytes(bytes);
      if (buffered && acquired == 0) {
        memory.watch(r -> writeFailed(new IllegalStateException("the caller does not read: " + r)));
      }
      acquired += buffered ? bytes.length : 0;
    }
    writeNext();
    return true;
  }

  /** Ends a streamed response after what was sent of it. */
  void endStream() {
    synchronized (pending) {
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
      response.write(true, ByteBuffer.wrap(next), Callback.from(this::complete, this::fail));
    } else {
      Runnable written = () -> written(next.length);
      response.write(false, ByteBuffer.wrap(next), Callback.from(written, this::writeFailed));
    }
  }

  private void written(int n) {
    synchronized (pending) {
      writing = false;
      if (acquired > 0) {
        int released = Math.min(n, acquired);
        acquired -= released;
        memory.transferred(n);
        memory.release(released);
        if (acquired == 0) {
          memory.unwatch();
        }
      }
    }
    writeNext();
  }

  private void writeFailed(Throwable cause) {
    left.run();
    cut(cause);
  }

  /**
   * Closes the connection before the end of the response, so that the response doesn't look
   * complete.
   */
  void cut(Throwable cause) {
    if (done.compareAndSet(false, true)) {
      fail(cause);
    }
  }

  /** Sends an error response generated by the entry. */
  void sendFailure(Failure f, @Nullable String requestId) {
    boolean mayRepeat = f.outcome() == Outcome.NOT_RUN && f.retryAfterMs() > 0;
    HttpFields headers = dialect.ownResponseHeaders(requestId, mayRepeat ? f.retryAfterMs() : 0);
    String json =
        String.format(
            "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\",\"outcome\":\"%s\"}}",
            f.kind().wireName(), f.message().replace('"', '\''), f.outcome().wireName());
    if (done.compareAndSet(false, true)) {
      left = () -> {};
      memory.unwatch();
      head(f.kind().status(), headers);
      byte[] content = json.getBytes(StandardCharsets.UTF_8);
      response.write(true, ByteBuffer.wrap(content), Callback.from(this::complete, this::fail));
    }
  }
}

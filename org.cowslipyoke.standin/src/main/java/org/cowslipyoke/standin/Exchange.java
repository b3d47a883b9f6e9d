package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One request and its response, subject to the fault switches. */
final class Exchange {

  /** Maximum size of a request body; exceeds the system's frame limit of 4 MiB in base64. */
  private static final int MAX_BODY_BYTES = 16 << 20;

  /** Response size under the switch {@code oversizeAnswers}; exceeds the limit of every client. */
  private static final int OVERSIZE_RESPONSE_BYTES = 24 << 20;

  private static final int CHUNK_BYTES = 4096;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final Faults faults;
  private final long linkBytesPerSecond;

  Exchange(
      Request request,
      Response response,
      Callback callback,
      Faults faults,
      long linkBytesPerSecond) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.faults = faults;
    this.linkBytesPerSecond = linkBytesPerSecond;
  }

  String method() {
    return request.getMethod();
  }

  String path() {
    return request.getHttpURI().getPath();
  }

  /** Returns method and path, for example {@code GET /v1/vms}. */
  String route() {
    return method() + " " + path();
  }

  String query(String name) {
    Fields f = Request.extractQueryParameters(request);
    String v = f.getValue(name);
    return v == null ? "" : v;
  }

  String header(String name) {
    return Objects.requireNonNullElse(request.getHeaders().get(name), "");
  }

  /** Returns the client name from the {@code User-Agent} header, which identifies the link. */
  String client() {
    return header("User-Agent");
  }

  byte[] body() throws IOException, InterruptedException {
    try (InputStream in = Content.Source.asInputStream(request)) {
      byte[] b = in.readNBytes(MAX_BODY_BYTES);
      faults.throttle(b.length, linkBytesPerSecond);
      return b;
    }
  }

  /**
   * Returns the body as a JSON object.
   *
   * @throws IllegalArgumentException if the body is not a JSON object
   */
  JsonNode json() throws IOException, InterruptedException {
    return JsonSettings.object(new String(body(), StandardCharsets.UTF_8));
  }

  void reply(JsonNode json) throws IOException, InterruptedException {
    reply(200, json);
  }

  void reply(int status, JsonNode json) throws IOException, InterruptedException {
    response.getHeaders().put("Content-Type", "application/json");
    bytes(status, json.toString().getBytes(StandardCharsets.UTF_8));
  }

  void error(int status, String kind, String message) throws IOException, InterruptedException {
    ObjectNode e = JsonSettings.JSON.createObjectNode();
    e.putObject("error").put("kind", kind).put("message", message);
    reply(status, e);
  }

  void setHeader(String name, String value) {
    response.getHeaders().put(name, value);
  }

  /** Sends a response, unless a switch for lost, malformed or oversize responses applies. */
  void bytes(int status, byte[] body) throws IOException, InterruptedException {
    if (isSilent()) {
      return;
    }
    boolean admin = path().startsWith("/admin");
    if (!admin && faults.losesResponse(path())) {
      reset();
      return;
    }
    byte[] sent = body;
    if (!admin && faults.applies(path()) && faults.consumeOccurrence("malformedAnswers")) {
      sent = "{\"row\": [".getBytes(StandardCharsets.UTF_8);
    } else if (!admin && faults.applies(path()) && faults.consumeOccurrence("oversizeAnswers")) {
      sent = new byte[OVERSIZE_RESPONSE_BYTES];
    }
    response.setStatus(status);
    response.getHeaders().put("Content-Length", sent.length);
    int at = 0;
    do {
      int n = Math.min(CHUNK_BYTES, sent.length - at);
      if (!admin) {
        faults.throttle(n, linkBytesPerSecond);
      }
      if (isSilent()) {
        return;
      }
      Content.Sink.write(response, at + n == sent.length, ByteBuffer.wrap(sent, at, n));
      at += n;
    } while (at < sent.length);
    callback.succeeded();
  }

  /**
   * Starts a streamed answer.
   *
   * @throws IOException if a fault switch loses the response
   */
  OutputStream stream() throws IOException {
    if (faults.losesResponse(path())) {
      reset();
      throw new IOException("response lost by a fault switch");
    }
    response.setStatus(200);
    response.getHeaders().put("Content-Type", "application/x-ndjson");
    OutputStream out = Content.Sink.asOutputStream(response);
    return new OutputStream() {
      @Override
      public void write(int b) throws IOException {
        write(new byte[] {(byte) b}, 0, 1);
      }

      @Override
      public void write(byte[] b, int off, int len) throws IOException {
        try {
          faults.throttle(len, linkBytesPerSecond);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          throw new IOException("interrupted", e);
        }
        if (!isSilent()) {
          out.write(b, off, len);
        }
      }

      @Override
      public void close() throws IOException {
        if (!isSilent()) {
          out.close();
          callback.succeeded();
        }
      }
    };
  }

  boolean isSilent() {
    return !path().startsWith("/admin") && faults.isSilent(endPoint());
  }

  /** Resets the connection without a response. */
  void reset() {
    EndPoint e = endPoint();
    try {
      if (e.getTransport() instanceof SocketChannel s) {
        s.setOption(StandardSocketOptions.SO_LINGER, 0);
      }
    } catch (IOException x) {
      e.close(x);
    }
    e.close();
    callback.failed(new IOException("connection reset by a fault switch"));
  }

  void fail(Throwable cause) {
    callback.failed(cause);
  }

  private EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }
}

package org.cowslipyoke.http;

import io.vavr.control.Either;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.cowslipyoke.http.internal.NotSentException;
import org.cowslipyoke.http.internal.ResponseCollector;
import org.cowslipyoke.http.internal.ServerConnections;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP client that all platform clients of a process share.
 *
 * <p>Every exchange has a deadline after which it is aborted and its connection closed, so that an
 * unresponsive connection never remains in a pool. A request is sent again only if its pooled
 * connection was closed before any byte of it was sent; redirects are not followed.
 */
public final class HttpConnector implements AutoCloseable {

  /** Media type of JSON bodies. */
  static final String JSON_MEDIA_TYPE = "application/json";

  /** Media type of raw bodies. */
  static final String BYTES_MEDIA_TYPE = "application/octet-stream";

  /** Maximum number of bytes of the head of a response. */
  static final int MAX_HEAD_BYTES = 32 << 10;

  /** Maximum number of times that a request is sent again because its connection was closed. */
  public static final int MAX_RESENDS = 3;

  /** Fraction of the heap that the buffered responses of a connector may take together. */
  private static final double HEAP_FRACTION = 1.0 / 6;

  /** Time to wait after the deadline for Jetty to report the abort, in milliseconds. */
  public static final long ABORT_GRACE_MS = 500;

  /**
   * Bounds of a client.
   *
   * @param maxConnections maximum number of connections to one address
   * @param maxQueued maximum number of requests that wait for a connection to one address
   * @param connectTimeoutMs timeout for opening a connection, in milliseconds
   * @param maxResponseBytes maximum size of the body of a buffered response
   */
  public record Limits(
      int maxConnections, int maxQueued, long connectTimeoutMs, int maxResponseBytes) {

    /**
     * Returns the maximum size of a response on the wire, in bytes. The framing of small chunks at
     * most doubles the size of their content.
     */
    long maxWireBytes() {
      return 2L * maxResponseBytes + MAX_HEAD_BYTES;
    }

    /** Returns the bounds that daemons use; each run in an engine's batch needs a connection. */
    public static Limits defaults() {
      return new Limits(256, 256, 1_000, 8 << 20);
    }
  }

  /**
   * A request.
   *
   * @param headers names and values, alternating
   * @param contentType media type of the body, empty if there is no body
   * @param timeoutMs time until the exchange is aborted, in milliseconds
   */
  public record Call(
      String method,
      URI uri,
      List<String> headers,
      String contentType,
      byte[] body,
      long timeoutMs) {}

  /** A complete response. {@code headers} contains names and values, alternating. */
  public record BufferedResponse(int status, List<String> headers, byte[] body) {

    /** Returns the first value of a header, empty if it is absent. */
    public String header(String name) {
      for (int i = 0; i + 1 < headers.size(); i += 2) {
        if (headers.get(i).equalsIgnoreCase(name)) {
          return headers.get(i + 1);
        }
      }
      return "";
    }
  }

  /** What is known of an exchange without a complete response. */
  public enum FailureKind {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The request may have arrived; no complete response was received. */
    RESPONSE_LOST,
    /** The request arrived; its response exceeded the maximum size. */
    RESPONSE_TOO_LARGE
  }

  /** The failure of an exchange without a complete response. */
  public record CallFailure(FailureKind kind, String message) {}

  /**
   * A response whose body is read as a stream.
   *
   * @param abort aborts the exchange and closes its connection
   */
  record StreamedResponse(int status, InputStream body, Runnable abort) {}

  private final HttpClient client;
  private final Limits limits;
  private final ResponseMemoryBudget memory;

  private HttpConnector(HttpClient client, Limits limits, ResponseMemoryBudget memory) {
    this.client = client;
    this.limits = limits;
    this.memory = memory;
  }

  /**
   * Returns a connector on the same connections whose responses draw on a memory budget of their
   * own, so that those of faulty peers can't crowd out others. Closing either closes both.
   */
  public HttpConnector withMemory(ResponseMemoryBudget other) {
    return new HttpConnector(client, limits, other);
  }

  /**
   * Starts a connector.
   *
   * @param name name of the VM of this process, sent as {@code User-Agent}
   * @throws IllegalStateException if the client does not start
   */
  public static HttpConnector start(String name, Limits limits) {
    QueuedThreadPool threads = new QueuedThreadPool(16, 2);
    threads.setName("http-client");
    threads.setDaemon(true);
    return new HttpConnector(
        startClient(name, limits, threads, 30_000),
        limits,
        ResponseMemoryBudget.ofHeap(HEAP_FRACTION));
  }

  /**
   * Starts a connector that runs on the given threads, which the caller provides.
   *
   * @param name name of the VM of this process, sent as {@code User-Agent}
   * @throws IllegalStateException if the client does not start
   */
  public static HttpConnector start(String name, Limits limits, Executor threads) {
    return new HttpConnector(
        startClient(name, limits, threads, 30_000),
        limits,
        ResponseMemoryBudget.ofHeap(HEAP_FRACTION));
  }

  /**
   * Starts a client that does not alter requests and responses: it follows no redirects, stores no
   * cookies, decodes no content and does not retry.
   *
   * @param idleMs time after which an idle connection is closed, in milliseconds
   * @throws IllegalStateException if the client does not start
   */
  public static HttpClient startClient(String name, Limits limits, Executor threads, long idleMs) {
    return ClientFactory.start(name, limits, threads, idleMs);
  }

  /** Sends a request and waits for the complete response, at most until the call's deadline. */
  public Either<CallFailure, BufferedResponse> send(Call call) {
    CompletableFuture<Either<CallFailure, BufferedResponse>> response = sendAsync(call);
    try {
      return response.get(call.timeoutMs() + ABORT_GRACE_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      response.cancel(false);
      return Either.left(new CallFailure(FailureKind.RESPONSE_LOST, "interrupted"));
    } catch (ExecutionException | TimeoutException e) {
      response.cancel(false);
      return Either.left(
          new CallFailure(
              FailureKind.RESPONSE_LOST, "no response within " + call.timeoutMs() + " ms"));
    }
  }

  /**
   * Sends a request. The returned future completes at the latest at the call's deadline; cancelling
   * it aborts the exchange.
   */
  public CompletableFuture<Either<CallFailure, BufferedResponse>> sendAsync(Call call) {
    AtomicReference<@Nullable Request> current = new AtomicReference<>();
    CompletableFuture<Either<CallFailure, BufferedResponse>> response =
        sendAsync(call, MAX_RESENDS, current);
    var unused =
        response.whenComplete(
            (a, e) -> {
              Request r = current.get();
              if (e != null && r != null) {
                abort(r, e);
              }
            });
    return response;
  }

  private CompletableFuture<Either<CallFailure, BufferedResponse>> sendAsync(
      Call call, int resends, AtomicReference<@Nullable Request> current) {
    AtomicBoolean begun = new AtomicBoolean();
    ResponseCollector collector =
        new ResponseCollector(limits.maxResponseBytes(), memory, call.body().length);
    Request r;
    try {
      r = newRequest(call, begun).timeout(call.timeoutMs(), TimeUnit.MILLISECONDS);
    } catch (IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          Either.left(new CallFailure(FailureKind.NOT_SENT, "malformed address or header")));
    }
    current.set(r);
    r.send(collector);
    return collector
        .done()
        .thenCompose(
            result ->
                resends > 0 && isNotSent(result.getFailure())
                    ? sendAsync(call, resends - 1, current)
                    : CompletableFuture.completedFuture(result(result, collector, begun)));
  }

  private Either<CallFailure, BufferedResponse> result(
      Result result, ResponseCollector collector, AtomicBoolean begun) {
    if (collector.isTooLarge()) {
      return Either.left(
          new CallFailure(
              FailureKind.RESPONSE_TOO_LARGE,
              "response exceeds " + limits.maxResponseBytes() + " bytes or the memory left"));
    }
    if (result.getResponseFailure() != null) {
      if (isNotSent(result.getFailure())) {
        begun.set(false);
      }
      return Either.left(failure(begun, String.valueOf(result.getFailure())));
    }
    Response response = result.getResponse();
    if (collector.isCutShort()) {
      return Either.left(
          new CallFailure(
              FailureKind.RESPONSE_LOST, "connection ended before the request was written"));
    }
    return Either.right(
        new BufferedResponse(response.getStatus(), headers(response), collector.body()));
  }

  /**
   * Sends a request and returns its response as a stream.
   *
   * @param idleMs time without a received byte after which the exchange is aborted, in milliseconds
   */
  Either<CallFailure, StreamedResponse> stream(Call call, long idleMs) {
    AtomicBoolean begun = new AtomicBoolean();
    InputStreamResponseListener listener = new StreamListener();
    Request r;
    try {
      r =
          newRequest(call, begun)
              .timeout(call.timeoutMs(), TimeUnit.MILLISECONDS)
              .idleTimeout(idleMs, TimeUnit.MILLISECONDS);
    } catch (IllegalArgumentException e) {
      return Either.left(new CallFailure(FailureKind.NOT_SENT, "malformed address or header"));
    }
    r.send(listener);
    try {
      Response response = listener.get(idleMs + ABORT_GRACE_MS, TimeUnit.MILLISECONDS);
      Runnable abort = () -> abort(r, new IllegalStateException("reader stopped"));
      if (!isAnswerStatus(response.getStatus())) {
        abort.run();
        return Either.left(
            new CallFailure(FailureKind.RESPONSE_LOST, "status " + response.getStatus()));
      }
      return Either.right(
          new StreamedResponse(response.getStatus(), listener.getInputStream(), abort));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      abort(r, e);
      return Either.left(new CallFailure(FailureKind.RESPONSE_LOST, "interrupted"));
    } catch (ExecutionException e) {
      abort(r, e);
      return Either.left(failure(begun, String.valueOf(e.getCause())));
    } catch (TimeoutException e) {
      abort(r, e);
      return Either.left(
          new CallFailure(FailureKind.RESPONSE_LOST, "no response within " + idleMs + " ms"));
    }
  }

  private static final class StreamListener extends InputStreamResponseListener {

    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
      countContent(response, chunk.remaining());
      super.onContent(response, chunk, demander);
    }
  }

  /**
   * Counts bytes of a response as content. Every response listener of a client that {@link
   * #startClient} returned must call it, because responses with too many other bytes are aborted.
   */
  public static void countContent(Response response, int bytes) {
    ServerConnections.countContent(response, bytes);
  }

  /** Returns whether a request failed on a pooled connection before any byte of it was sent. */
  public static boolean isNotSent(@Nullable Throwable failure) {
    return failure instanceof NotSentException;
  }

  /**
   * Returns whether a request with a body of the given length was written completely, for a client
   * that {@link #startClient} returned. Unlike Jetty's notification, which may come after that of
   * the failed response, this is known as soon as the bytes are written.
   */
  public static boolean isWritten(Request request, int bodyBytes) {
    return ServerConnections.isWritten(request, bodyBytes);
  }

  /** Returns whether a status is one of HTTP that a final response can have. */
  public static boolean isAnswerStatus(int status) {
    return status >= 200 && status <= 599;
  }

  /**
   * Returns whether a response that Jetty reports as complete may be a part of one: it ended with
   * its connection before the request was written, as when a server closes a connection with unread
   * bytes.
   *
   * @param bodyBytes length of the request's body
   */
  public static boolean isCutShort(Response response, int bodyBytes) {
    Request request = response.getRequest();
    boolean noBody =
        HttpMethod.HEAD.is(request.getMethod())
            || response.getStatus() == HttpStatus.NO_CONTENT_204
            || response.getStatus() == HttpStatus.NOT_MODIFIED_304;
    return !noBody
        && ResponseFraming.of(response.getHeaders()) == ResponseFraming.CONNECTION
        && !isWritten(request, bodyBytes);
  }

  /**
   * Returns the age of the connection of a response in milliseconds, for a client that {@link
   * #startClient} returned; 0 if it is not known.
   */
  public static long connectionAgeMs(Response response) {
    return ServerConnections.connectionAgeMs(response);
  }

  /**
   * Returns the local port of the connection that a request was assigned, 0 if it has none. Two
   * requests to a server with the same port used the same connection.
   */
  public static int connectionId(Request request) {
    return request.getConnection() != null
            && request.getConnection().getLocalSocketAddress() instanceof InetSocketAddress a
        ? a.getPort()
        : 0;
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client failed to stop", e);
    }
  }

  /** Returns the number of open connections of this connector. */
  public int openConnections() {
    return openConnections(client);
  }

  /** Returns the number of open connections of a client that {@link #startClient} returned. */
  public static int openConnections(HttpClient client) {
    return client.getDestinations().stream()
        .map(Destination::getConnectionPool)
        .mapToInt(p -> p instanceof AbstractConnectionPool a ? a.getConnectionCount() : 0)
        .sum();
  }

  private Request newRequest(Call call, AtomicBoolean begun) {
    Request r = client.newRequest(call.uri()).method(call.method());
    r.onRequestBegin(x -> begun.set(true));
    r.headers(
        h -> {
          for (int i = 0; i + 1 < call.headers().size(); i += 2) {
            h.add(call.headers().get(i), call.headers().get(i + 1));
          }
        });
    if (!call.contentType().isEmpty()) {
      r.body(new BytesRequestContent(call.contentType(), call.body()));
    }
    return r;
  }

  /**
   * Returns the failure of an exchange. Jetty calls the begin listener after it has assigned a
   * connection and before it writes the first byte, so a request that did not begin was not sent.
   */
  private static CallFailure failure(AtomicBoolean begun, String message) {
    return new CallFailure(begun.get() ? FailureKind.RESPONSE_LOST : FailureKind.NOT_SENT, message);
  }

  private static void abort(Request r, Throwable cause) {
    var unused = r.abort(cause);
  }

  private static List<String> headers(Response response) {
    return response.getHeaders().stream()
        .flatMap(f -> Stream.of(f.getName(), f.getValue()))
        .toList();
  }
}

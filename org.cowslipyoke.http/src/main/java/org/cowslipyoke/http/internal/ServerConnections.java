package org.cowslipyoke.http.internal;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.jspecify.annotations.Nullable;

/**
 * Opens connections as {@link ServerEndPoint}s and notifies them of requests and responses.
 *
 * <p>A server may send a copy of a response where the next one is due. On the same connection, that
 * copy can't be told from the response to a request with the same id. After a response other than a
 * success, which lets a request be sent again, its connection takes no further request with that
 * id.
 */
public final class ServerConnections extends ClientConnector {

  /**
   * Size of the send buffer of a connection in bytes. A request counts as written once the kernel
   * has taken it, so this bounds the part that may not have been sent. The kernel doubles the value
   * to what a link of 1,000 Mbit/s carries in a round trip of 2.8 ms.
   */
  private static final int SEND_BUFFER_BYTES = 175_000;

  private static final String REQUEST_ID = "X-Request-Id";

  private final long maxResponseBytes;

  /**
   * Creates a connector.
   *
   * @param maxResponseBytes maximum size of a response including its head and framing
   */
  public ServerConnections(long maxResponseBytes) {
    this.maxResponseBytes = maxResponseBytes;
    setSendBufferSize(SEND_BUFFER_BYTES);
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ServerEndPoint(
        (SocketChannel) channel, selector, key, getScheduler(), maxResponseBytes);
  }

  /**
   * Registers the listeners of a request. Must be called before the request is queued: Jetty may
   * assign it a connection and send it before it notifies the listeners of queued requests.
   */
  static void register(Request request) {
    request.onRequestBegin(ServerConnections::abortIfExcluded);
    request.onResponseHeaders(ServerConnections::onResponseHeaders);
    request.onResponseSuccess(ServerConnections::onResponseComplete);
  }

  /** Aborts a request, before its first byte is written, that has to use another connection. */
  private static void abortIfExcluded(Request request) {
    ServerEndPoint e = endPoint(request);
    String id = request.getHeaders().get(REQUEST_ID);
    if (e != null && id != null && e.isExcluded(id)) {
      var unused = request.abort(new NotSentException("connection has responded to this id", null));
    }
  }

  private static void onResponseHeaders(Response response) {
    ServerEndPoint e = endPoint(response);
    String id = response.getRequest().getHeaders().get(REQUEST_ID);
    if (e != null && id != null && response.getStatus() / 100 != 2) {
      e.exclude(id);
    }
  }

  private static void onResponseComplete(Response response) {
    ServerEndPoint e = endPoint(response);
    if (e != null) {
      Request.Content body = response.getRequest().getBody();
      e.onResponseComplete(body == null ? 0 : (int) body.getLength());
    }
  }

  /** Counts bytes of a response as content; responses with too many other bytes are aborted. */
  public static void countContent(Response response, int bytes) {
    ServerEndPoint e = endPoint(response);
    if (e != null) {
      e.countContent(bytes);
    }
  }

  /** Returns whether a request with a body of the given length was written completely. */
  public static boolean isWritten(Request request, int bodyBytes) {
    ServerEndPoint e = endPoint(request);
    return e != null && e.isRequestWritten(bodyBytes);
  }

  /** Returns the age of the connection of a response in milliseconds, 0 if it is not known. */
  public static long connectionAgeMs(Response response) {
    ServerEndPoint e = endPoint(response);
    return e == null ? 0 : e.ageMs();
  }

  private static @Nullable ServerEndPoint endPoint(Response response) {
    return endPoint(response.getRequest());
  }

  private static @Nullable ServerEndPoint endPoint(Request request) {
    return request.getConnection() instanceof Connection c
            && c.getEndPoint() instanceof ServerEndPoint e
        ? e
        : null;
  }
}

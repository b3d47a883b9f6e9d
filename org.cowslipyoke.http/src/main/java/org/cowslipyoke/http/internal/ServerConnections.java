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

/** Opens connections as {@link ServerEndPoint}s and tells them when an answer is whole. */
public final class ServerConnections extends ClientConnector implements Request.QueuedListener {

  private final long maxAnswerBytes;

  /**
   * Creates a connector.
   *
   * @param maxAnswerBytes bytes of one answer with its head and framing
   */
  public ServerConnections(long maxAnswerBytes) {
    this.maxAnswerBytes = maxAnswerBytes;
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ServerEndPoint(
        (SocketChannel) channel, selector, key, getScheduler(), maxAnswerBytes);
  }

  @Override
  public void onQueued(Request request) {
    request.onResponseSuccess(ServerConnections::answered);
  }

  private static void answered(Response response) {
    ServerEndPoint e = endPoint(response);
    if (e != null) {
      e.answered();
    }
  }

  /** Counts content of an answer; answers that consist of other bytes only are broken off. */
  public static void countContent(Response response, int bytes) {
    ServerEndPoint e = endPoint(response);
    if (e != null) {
      e.content(bytes);
    }
  }

  private static @Nullable ServerEndPoint endPoint(Response response) {
    return response.getRequest().getConnection() instanceof Connection c
            && c.getEndPoint() instanceof ServerEndPoint e
        ? e
        : null;
  }
}

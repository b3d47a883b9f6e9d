package org.cowslipyoke.daemon.relay;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.Predicate;
import org.cowslipyoke.relay.ConnectionSlots;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.io.Connection;

/**
 * Bounds the open connections of a connector by {@link ConnectionSlots}. Callers send a request
 * again on another connection if theirs was closed before the request was read.
 */
public final class ConnectionBound implements Connection.Listener {

  private final ConnectionSlots<Connection> slots;
  private final Runnable onClose;

  /**
   * Creates a bound.
   *
   * @param requests frees connections that have a request in progress
   * @param onClose called for each waiting connection that is closed for the bound
   */
  public ConnectionBound(
      Clock clock,
      ConnectionSlots.Bounds bounds,
      ConnectionSlots.Requests requests,
      Runnable onClose) {
    this.slots = new ConnectionSlots<>(clock, bounds, requests);
    this.onClose = onClose;
  }

  /** Returns a bound for a connector whose requests are answered at once. */
  public static ConnectionBound of(Clock clock, int max) {
    ConnectionSlots.Bounds b = ConnectionSlots.Bounds.of(max);
    return new ConnectionBound(clock, b, ConnectionSlots.Requests.none(), () -> {});
  }

  @Override
  public void onOpened(Connection c) {
    slots.opened(c, address(c.getEndPoint().getRemoteSocketAddress())).ifPresent(this::close);
  }

  /** Returns the remote address without its port. */
  private static String address(SocketAddress a) {
    return a instanceof InetSocketAddress i && i.getAddress() != null
        ? i.getAddress().getHostAddress()
        : "";
  }

  @Override
  public void onClosed(Connection c) {
    slots.closed(c);
  }

  /** Records that a connection has a request in progress, so that it is not closed. */
  void requestBegun(Connection c) {
    slots.requestBegun(c);
  }

  /** Records that a connection waits for its next request. */
  void requestEnded(Connection c) {
    slots.requestEnded(c);
  }

  /** Returns the number of open connections. */
  int open() {
    return slots.open();
  }

  /** Closes the waiting connections for which a condition holds. */
  void closeWaiting(Predicate<Connection> condition) {
    slots.waiting().stream().filter(condition).forEach(this::close);
  }

  private void close(Connection c) {
    onClose.run();
    c.getEndPoint().close();
  }
}

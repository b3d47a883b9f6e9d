package org.cowslipyoke.daemon.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.eclipse.jetty.io.Connection;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the open connections of a connector: a new one above the bound closes the one that has
 * waited longest for a request. Callers send a request again on another connection if theirs was
 * closed before the request was read.
 */
public final class ConnectionBound implements Connection.Listener {

  private final int max;
  private final BooleanSupplier makeRoom;
  private final Runnable onClose;
  private final Set<Connection> waiting = new LinkedHashSet<>();

  /** Requests in progress by connection; the next one may begin before the last one has ended. */
  private final Map<Connection, Integer> requests = new HashMap<>();

  private int open;

  /**
   * Creates a bound.
   *
   * @param makeRoom closes a connection that has a request in progress; returns whether it did
   * @param onClose called for each connection that is closed for the bound
   */
  public ConnectionBound(int max, BooleanSupplier makeRoom, Runnable onClose) {
    this.max = max;
    this.makeRoom = makeRoom;
    this.onClose = onClose;
  }

  @Override
  public void onOpened(Connection c) {
    Connection longest = null;
    boolean full;
    synchronized (this) {
      open++;
      full = open > max;
      if (full && !waiting.isEmpty()) {
        longest = waiting.iterator().next();
        waiting.remove(longest);
      }
      waiting.add(c);
    }
    if (longest != null) {
      close(longest);
    } else if (full && !makeRoom.getAsBoolean()) {
      close(c);
    }
  }

  @Override
  public synchronized void onClosed(Connection c) {
    open--;
    waiting.remove(c);
    requests.remove(c);
  }

  /** Records that a connection has a request in progress, so that it is not closed. */
  synchronized void requestBegun(Connection c) {
    waiting.remove(c);
    requests.merge(c, 1, Integer::sum);
  }

  /** Records that a connection waits for its next request. */
  synchronized void requestEnded(Connection c) {
    Integer left = requests.computeIfPresent(c, (k, n) -> n > 1 ? n - 1 : null);
    if (left == null && c.getEndPoint().isOpen()) {
      waiting.add(c);
    }
  }

  /** Returns the number of open connections. */
  synchronized int open() {
    return open;
  }

  /** Closes the waiting connections for which a condition holds. */
  void closeWaiting(Predicate<Connection> condition) {
    List<Connection> all;
    synchronized (this) {
      waiting.removeIf(c -> !c.getEndPoint().isOpen());
      all = new ArrayList<>(waiting);
    }
    all.stream().filter(condition).forEach(this::close);
  }

  private void close(@Nullable Connection c) {
    if (c != null) {
      onClose.run();
      c.getEndPoint().close();
    }
  }
}

package org.cowslipyoke.daemon.relay;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * A connector whose {@link ConnectionBound} is applied as connections are accepted. Jetty accepts
 * all that the kernel has queued before it opens the first of them, which can use up the
 * descriptors of the process.
 */
public final class CallerConnector extends ServerConnector {

  /** Maximum number of connections that are accepted and not opened yet. */
  private static final int MAX_UNOPENED = 16;

  /** Creates a connector that accepts in its only selector thread. */
  public CallerConnector(Server server, ConnectionFactory factory, ConnectionBound bound) {
    super(server, 0, 1, factory);
    addBean(bound);
  }

  @Override
  protected SelectorManager newSelectorManager(Executor e, Scheduler s, int selectors) {
    return new Manager(e, s, selectors);
  }

  private final class Manager extends ServerConnectorManager {

    private final Set<SelectableChannel> unopened = ConcurrentHashMap.newKeySet();

    Manager(Executor executor, Scheduler scheduler, int selectors) {
      super(executor, scheduler, selectors);
    }

    /** Accepts a connection, or returns null so that those before it are opened first. */
    @Override
    protected @Nullable SelectableChannel doAccept(SelectableChannel server) throws IOException {
      if (unopened.size() >= MAX_UNOPENED) {
        unopened.removeIf(c -> !c.isOpen());
      }
      return unopened.size() >= MAX_UNOPENED ? null : super.doAccept(server);
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
      unopened.add(channel);
      super.accepted(channel);
    }

    @Override
    protected void onAccepted(SelectableChannel channel) {
      unopened.remove(channel);
      super.onAccepted(channel);
    }

    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
      unopened.remove(channel);
      super.onAcceptFailed(channel, cause);
    }
  }
}

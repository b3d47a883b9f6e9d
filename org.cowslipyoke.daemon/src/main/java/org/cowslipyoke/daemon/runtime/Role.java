package org.cowslipyoke.daemon.runtime;

import org.cowslipyoke.transport.StreamAcceptor;
import org.eclipse.jetty.server.Handler;

/** A role of the daemon. The runtime owns the listeners and calls the role. */
public interface Role extends StreamAcceptor {

  /** Returns the handler of HTTP requests that the runtime does not answer itself. */
  Handler httpHandler();

  /** Starts background work; called once before the listeners open. */
  void start();

  /** Returns whether the role can serve, apart from configuration, pause and shutdown. */
  boolean isReady();

  /** Refuses new work from now on. */
  void stopAdmitting();

  /** Returns the number of requests that still run; the runtime waits for zero in a shutdown. */
  int running();

  /**
   * Stops background work; called once after {@link #running} reached zero or the drain timeout.
   */
  void stop();
}

package org.cowslipyoke.daemon.runtime;

import org.cowslipyoke.transport.StreamAcceptor;
import org.eclipse.jetty.server.Handler;

/** A role of the daemon. The runtime owns the listeners and the lifecycle of the role. */
public interface Role extends StreamAcceptor {

  /** Returns the handler of HTTP requests that the runtime does not handle itself. */
  Handler httpHandler();

  /** Starts background work; called once, before the HTTP listener opens. */
  void start();

  /**
   * Returns whether the role can serve requests, disregarding configuration, pauses and shutdown.
   */
  boolean isReady();

  /** Refuses new work from now on. */
  void stopAdmitting();

  /** Returns the number of running requests; a shutdown waits until it is zero. */
  int running();

  /**
   * Stops background work; called once, after {@link #running} has reached zero or the drain
   * timeout has passed.
   */
  void stop();
}

package org.cowslipyoke.daemon.relay;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.DesiredState;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.HttpConfiguration;

/** Applies the operators' limits for callers' heads and pauses at intervals. */
final class CallerSweep implements Runnable {

  private static final Logger LOG = LogManager.getLogger(CallerSweep.class);

  /**
   * Time by which the limits of the desired state are exceeded, in milliseconds: callers within
   * them must not be closed because this process was slow to read.
   */
  private static final long GRACE_MS = 5_000;

  private final RelayContext services;
  private final HttpConfiguration config;

  CallerSweep(RelayContext services, HttpConfiguration config) {
    this.services = services;
    this.config = config;
  }

  @Override
  public void run() {
    try {
      DesiredState d = services.state().get().desired();
      if (d == null) {
        return;
      }
      int max = d.callerLimits().maxHeaderBytes() + Relay.HEADER_SLACK_BYTES;
      if (config.getRequestHeaderSize() != max) {
        config.setRequestHeaderSize(max);
      }
      long headMs = d.callerLimits().headerTimeoutMs() + GRACE_MS;
      services
          .connections()
          .closeWaiting(
              (Connection c) ->
                  c.getEndPoint() instanceof ReadAheadEndPoint e && e.incompleteHeadMs() > headMs);
      services.memory().evictSlow(d.callerIdleTimeoutMs() + GRACE_MS);
    } catch (RuntimeException e) {
      LOG.error("callers not checked", e);
    }
  }
}

package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.IdentityHashMap;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Counts and logs pauses of servers within streams that exceed the target of the route, which make
 * a response late.
 */
public final class PauseMetrics implements AttemptObserver {

  private static final Logger LOG = LogManager.getLogger(PauseMetrics.class);

  private final MeterRegistry meters;
  private final Function<BackendServer, Load> loads;

  /** Time of the last content of the running streams, in monotonic milliseconds. */
  private final IdentityHashMap<Attempt, Long> lastContentMs = new IdentityHashMap<>();

  /**
   * Creates metrics.
   *
   * @param loads load of a server from all entries
   */
  public PauseMetrics(MeterRegistry meters, Function<BackendServer, Load> loads) {
    this.meters = meters;
    this.loads = loads;
  }

  @Override
  public void contentReceived(Attempt a, long nowMs, boolean first) {
    if (a.plan() == null || a.route().gapMs() <= 0) {
      return;
    }
    Long lastMs;
    synchronized (this) {
      lastMs = lastContentMs.put(a, nowMs);
    }
    if (lastMs != null && nowMs - lastMs > a.route().gapMs()) {
      recordPause(a, nowMs - lastMs);
    }
  }

  @Override
  public synchronized void ended(Attempt a, Ended e) {
    lastContentMs.remove(a);
  }

  private void recordPause(Attempt a, long pauseMs) {
    Counter.builder("cowslipyoke_relay_long_pauses")
        .tags("service", a.service(), "route", a.route().name())
        .register(meters)
        .increment();
    Load load = loads.apply(a.server());
    LOG.info(
        "pause in stream: request={} server={} route={} pauseMs={} targetMs={} prefill={}"
            + " resident={} running={}",
        a.requestId(),
        a.server().id(),
        a.route().name(),
        pauseMs,
        a.route().gapMs(),
        load.prefillTokens(),
        load.residentTokens(),
        load.inFlight());
  }
}

package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.ServerNotice;

/** Tells all observers; a failing one ends neither the attempt nor the others. */
final class AttemptObservers implements AttemptObserver {

  private static final Logger LOG = LogManager.getLogger(AttemptObservers.class);

  private final List<AttemptObserver> observers;

  AttemptObservers(List<AttemptObserver> observers) {
    this.observers = observers;
  }

  @Override
  public void started(Attempt a) {
    tell(o -> o.started(a));
  }

  @Override
  public void headReceived(Attempt a, ServerNotice notice) {
    tell(o -> o.headReceived(a, notice));
  }

  @Override
  public void contentReceived(Attempt a, long nowMs, boolean first) {
    tell(o -> o.contentReceived(a, nowMs, first));
  }

  @Override
  public void ended(Attempt a, Ended e) {
    tell(o -> o.ended(a, e));
  }

  private void tell(Consumer<AttemptObserver> call) {
    for (AttemptObserver o : observers) {
      try {
        call.accept(o);
      } catch (RuntimeException e) {
        LOG.error("observer failed", e);
      }
    }
  }
}

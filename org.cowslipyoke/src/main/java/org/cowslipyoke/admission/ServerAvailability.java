package org.cowslipyoke.admission;

import java.util.Optional;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.lease.PauseDetector;

/**
 * Whether a server takes any new work at all: shutdown, pause, configuration, own failure domain
 * and own leaving state. Thread-safe.
 */
public final class ServerAvailability {

  /** Retry hint for a state that operators or the platform change, in milliseconds. */
  private static final long STATE_RETRY_MS = 1_000;

  private final ConfigurationHolder configuration;
  private final PauseDetector pauses;
  private final String failureDomain;
  private volatile boolean stopping;
  private volatile boolean leaving;

  /** Creates the standing of a server in a failure domain. */
  public ServerAvailability(
      ConfigurationHolder configuration, PauseDetector pauses, String failureDomain) {
    this.configuration = configuration;
    this.pauses = pauses;
    this.failureDomain = failureDomain;
  }

  /** Refuses new work from now on; admitted work is finished. */
  public void stop() {
    stopping = true;
  }

  /** Notes whether the server's own row of the VM list says that it is leaving. */
  public void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Returns why no new work is taken; empty if it is. */
  public Optional<Failure> refusal() {
    if (stopping) {
      return refused(ErrorKind.SHUTTING_DOWN, "the process shuts down");
    }
    if (!isCurrent()) {
      return refused(ErrorKind.NOT_READY, "the process catches up after a pause");
    }
    return configuration.current().isEmpty()
        ? refused(ErrorKind.NOT_READY, "no configuration yet")
        : moved();
  }

  /** Returns whether the process may act on its state. */
  boolean isCurrent() {
    return pauses.isCurrent();
  }

  /**
   * Returns why work that waits here must go elsewhere. Neither a shutdown nor a pause is a reason:
   * both are followed by the end of the admitted work.
   */
  Optional<Failure> moved() {
    boolean out =
        configuration.current().map(c -> !c.places().acceptsNewWork(failureDomain)).orElse(false);
    if (out) {
      return refused(ErrorKind.DOMAIN_OUT, "failure domain is taken out: " + failureDomain);
    }
    if (leaving) {
      return refused(ErrorKind.SERVER_LEAVING, "the server is leaving");
    }
    return Optional.empty();
  }

  private static Optional<Failure> refused(ErrorKind kind, String message) {
    return Optional.of(new Failure(kind, message, STATE_RETRY_MS));
  }
}

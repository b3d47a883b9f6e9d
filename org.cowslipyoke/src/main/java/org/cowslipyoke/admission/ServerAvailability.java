package org.cowslipyoke.admission;

import java.util.Optional;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.lease.PauseDetector;

/**
 * Decides whether a server accepts any new work, independently of its load. It accepts none during
 * shutdown, after a pause of the process, without a configuration, when its failure domain is taken
 * out, or when its VM is leaving. Thread-safe.
 */
public final class ServerAvailability {

  /** Retry hint for a state that only operators or the platform change, in milliseconds. */
  private static final long STATE_RETRY_MS = 1_000;

  private final ConfigurationHolder configuration;
  private final PauseDetector pauses;
  private final String failureDomain;
  private volatile boolean stopping;
  private volatile boolean leaving;

  /** Creates the state of a server in a failure domain. */
  public ServerAvailability(
      ConfigurationHolder configuration, PauseDetector pauses, String failureDomain) {
    this.configuration = configuration;
    this.pauses = pauses;
    this.failureDomain = failureDomain;
  }

  /** Refuses new work from now on; work that was admitted before is completed. */
  public void stop() {
    stopping = true;
  }

  /** Sets whether the platform's VM list shows this server as leaving. */
  public void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Returns the reason to refuse new work; empty if new work is accepted. */
  public Optional<Failure> refusal() {
    if (stopping) {
      return refused(ErrorKind.SHUTTING_DOWN, "the process shuts down");
    }
    if (!isCurrent()) {
      return refused(ErrorKind.NOT_READY, "the process catches up after a pause");
    }
    return configuration.current().isEmpty()
        ? refused(ErrorKind.NOT_READY, "no configuration yet")
        : returnReason();
  }

  /** Returns whether the process has read its state again since its last pause. */
  boolean isCurrent() {
    return pauses.isCurrent();
  }

  /**
   * Returns the reason to return waiting work to its entries; empty if there is none. Neither a
   * shutdown nor a pause is a reason: the server still completes the admitted work.
   */
  Optional<Failure> returnReason() {
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

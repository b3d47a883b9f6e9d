package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cowslipyoke.admission.OrganisationLimits;
import org.cowslipyoke.admission.OrganisationLimits.Permit;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.routing.FleetView;
import org.eclipse.jetty.server.Request;

/** Whether the entry takes a request, and the count of those that run. */
final class EntryAdmission {

  private final DaemonContext context;
  private final FleetView fleet;
  private final OrganisationLimits limits;
  private final EntryMetrics metrics;
  private final AtomicInteger running;
  private final long bodyMs;
  private volatile boolean stopped;

  /**
   * Creates the admission of an entry.
   *
   * @param bodyMs milliseconds in which a body has to arrive
   */
  EntryAdmission(
      DaemonContext context,
      FleetView fleet,
      EntryMetrics metrics,
      AtomicInteger running,
      long bodyMs) {
    this.context = context;
    this.fleet = fleet;
    this.limits = new OrganisationLimits(context.clock());
    this.metrics = metrics;
    this.running = running;
    this.bodyMs = bodyMs;
  }

  void stop() {
    stopped = true;
  }

  /** Returns why the entry admits nothing at the moment, if so. */
  Optional<Failure> closed() {
    if (stopped) {
      return Optional.of(new Failure(ErrorKind.SHUTTING_DOWN, "the entry is stopping", 1_000));
    }
    if (context.configuration().current().isEmpty()) {
      return Optional.of(new Failure(ErrorKind.NOT_READY, "no configuration is known", 1_000));
    }
    if (!context.pauses().isCurrent()) {
      return Optional.of(
          new Failure(ErrorKind.NOT_READY, "the entry catches up after a pause", 1_000));
    }
    return Optional.empty();
  }

  /** Returns the configuration in force; {@link #closed} has confirmed that there is one. */
  Configuration configuration() {
    return context.configuration().current().orElseThrow();
  }

  Either<Failure, Permit> admit(Organisation organisation) {
    return limits.admit(organisation, fleet.liveEntries());
  }

  /**
   * Counts a request as running until its run has ended and its answer is written, so that a
   * planned stop cuts off neither.
   *
   * @return to be called when the run has ended
   */
  Runnable began(Permit permit, Request request) {
    running.incrementAndGet();
    AtomicInteger open = new AtomicInteger(2);
    Runnable half =
        () -> {
          if (open.decrementAndGet() == 0) {
            running.decrementAndGet();
          }
        };
    Request.addCompletionListener(request, failure -> half.run());
    AtomicBoolean ended = new AtomicBoolean();
    return () -> {
      if (ended.compareAndSet(false, true)) {
        permit.release();
        half.run();
      }
    };
  }

  void readBody(Request request, int maxBytes, Consumer<Either<Failure, byte[]>> result) {
    BodyReader.read(request, maxBytes, context.scheduler(), bodyMs, result);
  }

  /** Counts a request that was refused before it had a target. */
  void refused(Failure failure) {
    metrics.ended("none", failure.kind().wireName());
  }

  /** Forgets organisations that the configuration no longer has. */
  void tidy() {
    context.configuration().current().ifPresent(c -> limits.retain(c.organisations().keySet()));
  }
}

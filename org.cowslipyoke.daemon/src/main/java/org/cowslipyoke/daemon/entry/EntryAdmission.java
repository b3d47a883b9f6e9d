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

/** Decides whether the entry admits a request and counts the running requests. */
final class EntryAdmission {

  private final DaemonContext context;
  private final FleetView fleet;
  private final OrganisationLimits limits;
  private final EntryMetrics metrics;
  private final AtomicInteger running;
  private final long bodyTimeoutMs;
  private volatile boolean stopped;

  /**
   * Creates the admission of an entry.
   *
   * @param bodyTimeoutMs time in which a request body has to arrive, in milliseconds
   */
  EntryAdmission(
      DaemonContext context,
      FleetView fleet,
      EntryMetrics metrics,
      AtomicInteger running,
      long bodyTimeoutMs) {
    this.context = context;
    this.fleet = fleet;
    this.limits = new OrganisationLimits(context.clock());
    this.metrics = metrics;
    this.running = running;
    this.bodyTimeoutMs = bodyTimeoutMs;
  }

  void stopAdmitting() {
    stopped = true;
  }

  /** Returns why the entry admits no requests at present; empty if it does. */
  Optional<Failure> refusal() {
    if (stopped) {
      return Optional.of(new Failure(ErrorKind.SHUTTING_DOWN, "the entry is stopping", 1_000));
    }
    if (context.configuration().current().isEmpty()) {
      return Optional.of(
          new Failure(ErrorKind.NOT_READY, "no configuration has been loaded", 1_000));
    }
    if (!context.pauses().isCurrent()) {
      return Optional.of(
          new Failure(
              ErrorKind.NOT_READY, "the entry is catching up after a process pause", 1_000));
    }
    return Optional.empty();
  }

  /** Returns the active configuration; call only after {@link #refusal} returned empty. */
  Configuration configuration() {
    return context.configuration().current().orElseThrow();
  }

  Either<Failure, Permit> admit(Organisation organisation) {
    return limits.admit(organisation, fleet.liveEntries());
  }

  /**
   * Counts a request as running until its driver has ended and its response is written, so that a
   * graceful shutdown waits for both.
   *
   * @return callback for the end of the driver; further calls have no effect
   */
  Runnable trackRequest(Permit permit, Request request) {
    running.incrementAndGet();
    AtomicInteger outstanding = new AtomicInteger(2);
    Runnable completeOne =
        () -> {
          if (outstanding.decrementAndGet() == 0) {
            running.decrementAndGet();
          }
        };
    Request.addCompletionListener(request, failure -> completeOne.run());
    AtomicBoolean ended = new AtomicBoolean();
    return () -> {
      if (ended.compareAndSet(false, true)) {
        permit.release();
        completeOne.run();
      }
    };
  }

  void readBody(Request request, int maxBytes, Consumer<Either<Failure, byte[]>> result) {
    BodyReader.read(request, maxBytes, context.scheduler(), bodyTimeoutMs, result);
  }

  /** Counts a request that was refused before its model or service was known. */
  void countRefusal(Failure failure) {
    metrics.countRequest("none", failure.kind().wireName());
  }

  /** Removes the limits of organisations that are no longer in the configuration. */
  void removeUnknownOrganisations() {
    context.configuration().current().ifPresent(c -> limits.retain(c.organisations().keySet()));
  }
}

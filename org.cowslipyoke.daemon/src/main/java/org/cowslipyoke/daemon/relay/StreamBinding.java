package org.cowslipyoke.daemon.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.RequestAttempts;
import org.cowslipyoke.stream.StreamOrigins;
import org.jspecify.annotations.Nullable;

/** Binds the stream of one exchange to the software version that began it. */
final class StreamBinding {

  /** Maximum wait of a stream that is taken up for the next read of the list of servers, in ms. */
  private static final long SERVER_LIST_MS = 1_000;

  /** Interval at which such a stream looks for a server, in milliseconds. */
  private static final long SERVER_LIST_STEP_MS = 25;

  /** Time after the start of a server by which the list shows it, in milliseconds. */
  private static final long LIST_DELAY_MS = 2_000;

  private static final Logger LOG = LogManager.getLogger(StreamBinding.class);

  private final RelayExchange exchange;
  private final RelayContext services;
  private final RequestAttempts run;
  private final long startMs;

  /**
   * Creates the binding of a stream that is bound to no version yet.
   *
   * @param startMs time at which the request arrived, in monotonic milliseconds
   */
  StreamBinding(RelayExchange exchange, RequestAttempts run, long startMs) {
    this.exchange = exchange;
    this.services = exchange.services();
    this.run = run;
    this.startMs = startMs;
  }

  /** Returns whether the caller has read the stream in part and takes it up. */
  boolean isTakeUp() {
    return exchange.isStream() && exchange.request().lastEventId() != null;
  }

  /**
   * Finds the version that began the stream.
   *
   * @param onBound called once the stream is bound
   * @param onFailure called if it can't be bound
   */
  void takeUp(Runnable onBound, Consumer<Failure> onFailure) {
    var unused =
        services
            .streams()
            .find(exchange.service(), exchange.request().firstRequest())
            .thenAccept(
                found ->
                    found.peek(version -> bind(version, onBound, onFailure)).peekLeft(onFailure))
            .whenComplete((done, e) -> failOn(e, onFailure));
  }

  private void bind(String version, Runnable onBound, Consumer<Failure> onFailure) {
    run.bind(version);
    awaitServer(services.clock().nowMs(), onBound, onFailure);
  }

  private void failOn(@Nullable Throwable e, Consumer<Failure> onFailure) {
    if (e != null) {
      LOG.error("stream not taken up: request={}", exchange.request().loggedId(), e);
      onFailure.accept(Failure.of(ErrorKind.INTERNAL, "the stream was not taken up"));
    }
  }

  /**
   * Waits until a server of the stream's version is listed, or until the list has been read again:
   * the list of an entry that was paused or cut off may lack such a server.
   */
  private void awaitServer(long sinceMs, Runnable onBound, Consumer<Failure> onFailure) {
    FleetState state = services.state().get();
    boolean waits =
        !state.anyAvailable(exchange.service(), run::mayRunAt)
            && state.serversReadMs() < startMs
            && services.clock().nowMs() - sinceMs < SERVER_LIST_MS
            && !exchange.isOver();
    if (!waits) {
      onBound.run();
      return;
    }
    try {
      Runnable next =
          () -> {
            try {
              awaitServer(sinceMs, onBound, onFailure);
            } catch (RuntimeException e) {
              failOn(e, onFailure);
            }
          };
      var unused = services.timers().schedule(next, SERVER_LIST_STEP_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      onFailure.accept(new Failure(ErrorKind.SHUTTING_DOWN, "the process stops", 0));
    }
  }

  /**
   * Returns the gate for the events of an attempt.
   *
   * @param connectionAgeMs returns the age of the connection of the attempt, in milliseconds
   */
  EventGate gate(BackendServer server, LongSupplier connectionAgeMs, EventGate.Outlet outlet) {
    if (!exchange.isStream() || !exchange.route().resumable()) {
      return EventGate.open(outlet);
    }
    CompletableFuture<Boolean> certain = CompletableFuture.completedFuture(true);
    boolean begins = exchange.placement().beginsResumableStream();
    StreamOrigins.Beginning beginning =
        begins
            ? services
                .streams()
                .begin(
                    exchange.service(),
                    exchange.request().id(),
                    run.attempts(),
                    server.software(),
                    exchange.route().isShared())
            : () -> certain;
    return new EventGate(
        () ->
            beginning
                .firstEvent()
                .thenCombine(
                    isListedIncarnation(server, begins, connectionAgeMs.getAsLong()),
                    (recorded, listed) -> recorded && listed),
        services.client().getExecutor(),
        outlet);
  }

  /**
   * Finds out whether a server is the listed incarnation. A server may start again with another
   * version under its id and address; the connection is then a new one, and the list may not show
   * the start yet. Most connections are new, so streams that begin are checked only if the list is
   * outdated.
   */
  private CompletableFuture<Boolean> isListedIncarnation(
      BackendServer server, boolean begins, long connectionAgeMs) {
    FleetState state = services.state().get();
    BackendServer listed = state.servers().get(server.id());
    long listAgeMs = services.clock().nowMs() - state.serversReadMs();
    boolean known =
        listed != null
            && listed.incarnation().equals(server.incarnation())
            && (begins ? listAgeMs <= LIST_DELAY_MS : connectionAgeMs > listAgeMs + LIST_DELAY_MS);
    return known
        ? CompletableFuture.completedFuture(true)
        : services.streams().isListedIncarnation(server);
  }
}

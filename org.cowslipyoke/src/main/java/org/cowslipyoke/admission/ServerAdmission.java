package org.cowslipyoke.admission;

import static io.vavr.control.Either.left;
import static io.vavr.control.Either.right;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cowslipyoke.admission.Reservations.Reservation;
import org.cowslipyoke.admission.Ticket.Dropped;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine.Load;
import org.cowslipyoke.platform.ModelEngine.State;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Clock;

/**
 * Decides which work one model server accepts and when it is submitted to the engine. Every refusal
 * is final for the attempt and means that the request has not run. Thread-safe; no call blocks on
 * I/O.
 */
public final class ServerAdmission {

  /** Largest number of runs that may wait at a warm server. */
  public static final int QUEUE_CAPACITY = 256;

  /**
   * Largest number of runs that may wait at a cold server for each run that it may execute. Waiting
   * runs put no load on the engine; without a queue, a group whose servers start at the same time
   * would refuse work that it could serve in time.
   */
  public static final int COLD_QUEUE_FACTOR = 4;

  /**
   * The work before the first token of a prompt.
   *
   * @param recomputedTokens tokens that are neither cached nor fetched, so that the engine computes
   *     them
   * @param fetchMs expected time to fetch blocks, in milliseconds
   */
  public record PrefillEstimate(int recomputedTokens, long fetchMs) {}

  /**
   * An accepted probe.
   *
   * @param ttftMs estimated time to the first token in milliseconds
   * @param queued number of waiting runs
   * @param active number of executing runs
   * @param weightVersion version that would serve the request
   */
  public record Grant(
      long reservationId, long ttftMs, int queued, int active, String weightVersion) {}

  private final Clock clock;
  private final ServerAvailability standing;
  private final ConfigurationHolder configuration;
  private final SuspectRule suspects;
  private final ColdStartLimit coldStart;
  private final Reservations reservations;
  private final FairQueue<Ticket> queue = new FairQueue<>(QUEUE_CAPACITY);
  private final Set<Ticket> active = new LinkedHashSet<>();
  private final Set<Ticket> waiting = new LinkedHashSet<>();
  private final EngineView engine = new EngineView();
  private final RunRefusals refusals;
  private boolean turnedCold;

  /** Creates the admission of a cold server whose engine is not known yet. */
  public ServerAdmission(
      Clock clock,
      ServerAvailability standing,
      ConfigurationHolder configuration,
      SuspectList suspects,
      RandomGenerator random) {
    this.clock = clock;
    this.refusals = new RunRefusals(clock, engine);
    this.standing = standing;
    this.configuration = configuration;
    this.suspects = new SuspectRule(clock, suspects);
    this.coldStart = new ColdStartLimit(1);
    this.reservations = new Reservations(clock, random);
  }

  /** Decides on a probe and reserves capacity for it. */
  public synchronized Either<Failure, Grant> probe(
      AdmissionRequest probed, PrefillEstimate effort) {
    Optional<Failure> unavailable = standing.refusal();
    if (unavailable.isPresent()) {
      return left(unavailable.get());
    }
    AdmissionRequest request = suspects.withSuspectMark(probed);
    Optional<Failure> refusal =
        engine.refusal(request).or(() -> suspectRefusal(request)).or(this::capacityRefusal);
    if (refusal.isPresent()) {
      return left(refusal.get());
    }
    int slots = coldStart.allowance();
    int ahead = active.size() + queue.size() + reservations.count();
    long ttft =
        engine.waitMs(ahead, slots)
            + effort.fetchMs()
            + engine.firstTokenMs(backlogTokens() + effort.recomputedTokens());
    if (ttft > request.deadlineMs()) {
      return left(
          new Failure(
              ErrorKind.DEADLINE_TOO_SHORT,
              "estimated time to the first token is " + ttft + " ms",
              engine.retryAfterMs()));
    }
    Reservation r =
        reservations.reserve(request, engine.weightVersion(), effort.recomputedTokens());
    return right(new Grant(r.id(), ttft, queue.size(), active.size(), r.weightVersion()));
  }

  /** Releases a reservation; returns false if it does not exist. */
  public synchronized boolean release(long reservationId) {
    return reservations.release(reservationId);
  }

  /** Decides on a start under a reservation and puts the run into the queue. */
  public synchronized Either<Failure, Ticket> start(long reservationId, AdmissionRequest started) {
    Optional<Failure> unavailable = standing.refusal();
    if (unavailable.isPresent()) {
      return left(unavailable.get());
    }
    AdmissionRequest request = suspects.withSuspectMark(started);
    Optional<Reservation> reservation = reservations.take(reservationId, request);
    if (reservation.isEmpty()) {
      return left(
          Failure.of(ErrorKind.RESERVATION_EXPIRED, "the reservation is not known or has expired"));
    }
    Optional<Failure> refusal =
        engine
            .refusal(request)
            .or(() -> refusals.startVersion(reservation.get(), request))
            .or(() -> suspectRefusal(request));
    if (refusal.isPresent()) {
      return left(refusal.get());
    }
    Ticket ticket = newTicket(reservation.get(), request);
    int cost = 1 + request.promptTokens() / BlockChain.BLOCK_TOKENS;
    int weight = weight(request.organisation());
    if (!queue.offer(request.priority(), request.organisation(), weight, cost, ticket)) {
      return left(new Failure(ErrorKind.OVERLOADED, "the queue is full", engine.retryAfterMs()));
    }
    waiting.add(ticket);
    return right(ticket);
  }

  /**
   * Removes the waiting runs that may no longer be submitted, and returns them with the reason. The
   * caller refuses them to their entries as not run. Must be called before {@link #activateNext}
   * and periodically.
   */
  public synchronized List<Dropped> sweep() {
    List<Dropped> dropped = new ArrayList<>();
    Optional<Failure> returnReason = standing.returnReason();
    List<Ticket> removed =
        queue.removeIf(
            t -> {
              Optional<Failure> reason = returnReason.or(() -> dropReason(t));
              reason.ifPresent(f -> dropped.add(new Dropped(t, f)));
              return reason.isPresent();
            });
    turnedCold = false;
    for (Ticket t : removed) {
      waiting.remove(t);
    }
    return dropped;
  }

  /**
   * Takes the next run from the queue and counts it as active. The caller submits it to the engine.
   *
   * @return empty if no run waits, the allowance is used up, the server must not submit work at
   *     present, or {@link #sweep} must be called first
   */
  public synchronized Optional<Ticket> activateNext() {
    if (turnedCold
        || active.size() >= coldStart.allowance()
        || standing.returnReason().isPresent()
        || !standing.isCurrent()) {
      return Optional.empty();
    }
    Optional<Ticket> next = queue.poll();
    next.ifPresent(
        t -> {
          waiting.remove(t);
          t.activate(coldStart.period(), clock.nowMs(), backlogTokens());
          active.add(t);
        });
    return next;
  }

  /**
   * Removes a waiting run, for example because its caller has cancelled it; returns false if it is
   * not waiting.
   */
  public synchronized boolean withdraw(Ticket ticket) {
    boolean found = !queue.removeIf(t -> t.equals(ticket)).isEmpty();
    if (found) {
      waiting.remove(ticket);
    }
    return found;
  }

  /**
   * Decides immediately before a run is sent to the engine. The server may have turned cold, or its
   * weights may have changed, since the run became active.
   *
   * @param state state of the engine that was read for this decision
   * @return the reason not to send the run; empty if it may be sent
   */
  public synchronized Optional<Failure> checkSubmission(Ticket ticket, State state) {
    onState(state);
    if (ticket.warmUpPeriod() != coldStart.period()) {
      return refusals.cold();
    }
    return standing
        .returnReason()
        .or(() -> refusals.deadline(ticket))
        .or(() -> refusals.ticketVersion(ticket));
  }

  /**
   * Handles the first token of a run.
   *
   * @param tookMs milliseconds from submission to the first token
   * @param recomputedTokens prompt tokens that the engine computed
   */
  public synchronized void onFirstToken(Ticket ticket, long tookMs, int recomputedTokens) {
    ticket.markPrefilled();
    long expected = engine.expectedFirstTokenMs(ticket.backlogTokens() + recomputedTokens);
    updateTurnedCold(coldStart.onFirstToken(ticket.warmUpPeriod(), tookMs, expected));
  }

  /**
   * Handles the end of a run in the engine.
   *
   * @param complete whether the run completed; only then it counts for the cold-start limit and
   *     clears its request as a suspect
   */
  public synchronized void onFinished(Ticket ticket, boolean complete) {
    if (!active.remove(ticket)) {
      return;
    }
    if (complete) {
      coldStart.onCompleted(ticket.warmUpPeriod());
      engine.onRunEnded(clock.nowMs() - ticket.startedMs());
      suspects.onCompleted(ticket.request().digest());
    }
  }

  /** Handles the engine's state, which is read directly and does not lag. */
  public synchronized void onState(State state) {
    engine.setState(state);
    updateTurnedCold(coldStart.onIncarnation(state.incarnation()));
  }

  /** Handles an engine that does not answer. */
  public synchronized void onUnreachable() {
    engine.setUnreachable();
  }

  /** Handles a load report of the engine, which lags. */
  public synchronized void onLoad(Load load) {
    engine.onLoad(load);
    coldStart.setColdLimit(
        configuration.current().map(c -> c.limits().coldStartConcurrency()).orElse(1));
    coldStart.setMaxBatch(load.maxBatch());
    updateTurnedCold(coldStart.onReport(load.incarnation(), load.cold()));
  }

  /**
   * Handles a crash of the engine. A request that was in flight at two crashes of this engine is
   * quarantined at this server, also while the table is unavailable.
   *
   * @param digests digests of the requests that were in flight
   */
  public synchronized void onCrash(Collection<String> digests) {
    suspects.onCrash(digests);
    engine.setUnreachable();
    coldStart.resetToCold();
    updateTurnedCold(true);
  }

  /** Stops or resumes submitting runs, before and after an order that swaps the weights. */
  public synchronized void suspendSubmission(boolean on) {
    engine.setSwapping(on);
  }

  /** Returns the number of runs that may execute at present. */
  public synchronized int allowance() {
    return coldStart.allowance();
  }

  /** Returns the number of executing runs. */
  public synchronized int active() {
    return active.size();
  }

  /** Returns the number of waiting runs. */
  public synchronized int queued() {
    return queue.size();
  }

  /** Returns the weight version that the engine has loaded; empty if it is not known. */
  public synchronized String weightVersion() {
    return engine.weightVersion();
  }

  /** Returns the number of prompt tokens that the engine computes per second. */
  public synchronized double prefillTokensPerSecond() {
    return engine.prefillTokensPerSecond();
  }

  /**
   * If the server has turned cold, removes all reservations, which were made for the larger
   * allowance, and lets the next {@link #sweep} return all waiting runs.
   */
  private void updateTurnedCold(boolean newlyCold) {
    if (newlyCold) {
      turnedCold = true;
      reservations.clear();
    }
  }

  private Optional<Failure> capacityRefusal() {
    int taken = active.size() + queue.size() + reservations.count();
    int slots = coldStart.allowance();
    int queueCapacity =
        coldStart.isWarming()
            ? Math.min(QUEUE_CAPACITY, COLD_QUEUE_FACTOR * slots)
            : QUEUE_CAPACITY;
    if (taken < slots + queueCapacity) {
      return Optional.empty();
    }
    ErrorKind kind = coldStart.isWarming() ? ErrorKind.SERVER_COLD : ErrorKind.OVERLOADED;
    String message = taken + " runs for an allowance of " + slots;
    return Optional.of(new Failure(kind, message, engine.retryAfterMs()));
  }

  private Optional<Failure> suspectRefusal(AdmissionRequest r) {
    Stream<AdmissionRequest> tickets =
        Stream.concat(active.stream(), waiting.stream()).map(Ticket::request);
    return suspects.refusal(
        r, Stream.concat(tickets, reservations.requests()), engine.retryAfterMs());
  }

  private Optional<Failure> dropReason(Ticket t) {
    if (turnedCold) {
      return refusals.cold();
    }
    return refusals
        .deadline(t)
        .or(() -> refusals.ticketVersion(t))
        .or(() -> suspects.quarantineRefusal(t.request()));
  }

  private Ticket newTicket(Reservation reservation, AdmissionRequest request) {
    long deadline = clock.nowMs() + Math.max(0, request.deadlineMs());
    return new Ticket(request, reservation.weightVersion(), deadline, reservation.prefillTokens());
  }

  /** Returns the number of prompt tokens of active runs that the engine still has to compute. */
  private long backlogTokens() {
    return active.stream().mapToLong(Ticket::prefillTokensLeft).sum();
  }

  private int weight(String organisation) {
    return configuration
        .current()
        .map(Configuration::organisations)
        .map(o -> o.get(organisation))
        .map(Organisation::weight)
        .orElse(1);
  }
}

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
 * Decides which work one model server takes and when it is submitted to the engine. Every refusal
 * is final for the attempt and means that the request has not run. Thread-safe; no call blocks.
 */
public final class ServerAdmission {

  /** Runs that may wait at a warm server. */
  public static final int QUEUE_CAPACITY = 256;

  /**
   * Runs that may wait at a cold server for each run that it may execute. Waiting runs put no load
   * on the engine; with none, a group that starts together refuses what it could serve in time.
   */
  public static final int COLD_QUEUE_FACTOR = 4;

  /**
   * What the server would do for a prompt.
   *
   * @param recomputedTokens tokens that are neither cached nor fetched
   * @param fetchMs expected time of the fetch
   */
  public record PrefillEstimate(int recomputedTokens, long fetchMs) {}

  /** An accepted probe. */
  public record Grant(
      long reservationId, long ttftMs, int queued, int active, String weightVersion) {}

  private final Clock clock;
  private final ServerAvailability standing;
  private final ConfigurationHolder configuration;
  private final SuspectRule suspects;
  private final ColdStartLimit cold;
  private final Reservations reservations;
  private final FairQueue<Ticket> queue = new FairQueue<>(QUEUE_CAPACITY);
  private final Set<Ticket> active = new LinkedHashSet<>();
  private final Set<Ticket> waiting = new LinkedHashSet<>();
  private final EngineView engine = new EngineView();
  private boolean turnedCold;

  /** Creates the admission of a cold server whose engine is not known yet. */
  public ServerAdmission(
      Clock clock,
      ServerAvailability standing,
      ConfigurationHolder configuration,
      SuspectList suspects,
      RandomGenerator random) {
    this.clock = clock;
    this.standing = standing;
    this.configuration = configuration;
    this.suspects = new SuspectRule(clock, suspects);
    this.cold = new ColdStartLimit(1);
    this.reservations = new Reservations(clock, random);
  }

  /** Decides on a probe and reserves capacity for it. */
  public synchronized Either<Failure, Grant> probe(
      AdmissionRequest probed, PrefillEstimate effort) {
    Optional<Failure> closed = standing.refusal();
    if (closed.isPresent()) {
      return left(closed.get());
    }
    AdmissionRequest request = suspects.marked(probed);
    Optional<Failure> refusal =
        engine.refusal(request).or(() -> suspectRefusal(request)).or(this::capacityRefusal);
    if (refusal.isPresent()) {
      return left(refusal.get());
    }
    int slots = cold.allowance();
    int ahead = active.size() + queue.size() + reservations.count();
    long ttft =
        engine.waitMs(ahead, slots)
            + effort.fetchMs()
            + engine.firstTokenMs(backlog() + effort.recomputedTokens());
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

  /** Gives a reservation back. */
  public synchronized boolean release(long reservationId) {
    return reservations.release(reservationId);
  }

  /** Decides on a start under a reservation and puts the run into the queue. */
  public synchronized Either<Failure, Ticket> start(long reservationId, AdmissionRequest started) {
    Optional<Failure> closed = standing.refusal();
    if (closed.isPresent()) {
      return left(closed.get());
    }
    AdmissionRequest request = suspects.marked(started);
    Optional<Reservation> held = reservations.take(reservationId, request);
    if (held.isEmpty()) {
      return left(
          Failure.of(ErrorKind.RESERVATION_EXPIRED, "the reservation is not known or has expired"));
    }
    Optional<Failure> refusal =
        engine
            .refusal(request)
            .or(() -> versionRefusal(held.get(), request))
            .or(() -> suspectRefusal(request));
    if (refusal.isPresent()) {
      return left(refusal.get());
    }
    Ticket ticket = ticket(held.get(), request);
    int cost = 1 + request.promptTokens() / BlockChain.BLOCK_TOKENS;
    int weight = weight(request.organisation());
    if (!queue.offer(request.priority(), request.organisation(), weight, cost, ticket)) {
      return left(new Failure(ErrorKind.OVERLOADED, "the queue is full", engine.retryAfterMs()));
    }
    waiting.add(ticket);
    return right(ticket);
  }

  /**
   * Removes the waiting runs that must not be submitted any more. To be called before {@link
   * #activateNext} and periodically; the runs are returned to their entries as not run.
   */
  public synchronized List<Dropped> sweep() {
    List<Dropped> dropped = new ArrayList<>();
    Optional<Failure> moved = standing.moved();
    List<Ticket> removed =
        queue.removeIf(
            t -> {
              Optional<Failure> reason = moved.or(() -> dropReason(t));
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
   * Returns the run that may be submitted now; empty if none waits, the allowance is used up, or
   * {@link #sweep} has runs to remove first.
   */
  public synchronized Optional<Ticket> activateNext() {
    if (turnedCold
        || active.size() >= cold.allowance()
        || standing.moved().isPresent()
        || !standing.isCurrent()) {
      return Optional.empty();
    }
    Optional<Ticket> next = queue.poll();
    next.ifPresent(
        t -> {
          waiting.remove(t);
          t.activate(cold.period(), clock.nowMs(), backlog());
          active.add(t);
        });
    return next;
  }

  /** Removes a waiting run, for example because its caller cancelled it; false if not waiting. */
  public synchronized boolean withdraw(Ticket ticket) {
    boolean found = !queue.removeIf(t -> t.equals(ticket)).isEmpty();
    if (found) {
      waiting.remove(ticket);
    }
    return found;
  }

  /**
   * Decides just before a run is sent to the engine, with the state that was read for it. The
   * server may have turned cold, or its weights may have changed, since the run got its slot.
   */
  public synchronized Optional<Failure> checkSubmission(Ticket ticket, State state) {
    onState(state);
    if (ticket.period() != cold.period()) {
      return coldRefusal();
    }
    return standing.moved().or(() -> lateRefusal(ticket)).or(() -> versionOf(ticket));
  }

  /** Notes the first token of a run. */
  public synchronized void onFirstToken(Ticket ticket, long tookMs, int recomputedTokens) {
    ticket.prefilled();
    long expected = engine.expectedFirstTokenMs(ticket.backlogTokens() + recomputedTokens);
    note(cold.firstToken(ticket.period(), tookMs, expected));
  }

  /**
   * Notes that a run has left the engine.
   *
   * @param complete whether it reached its end there; only such a run earns allowance and clears
   *     its request of suspicion
   */
  public synchronized void onFinished(Ticket ticket, boolean complete) {
    if (!active.remove(ticket)) {
      return;
    }
    if (complete) {
      cold.completed(ticket.period());
      engine.ran(clock.nowMs() - ticket.startedMs());
      suspects.completed(ticket.request().digest());
    }
  }

  /** Notes the engine's state, which is read directly. */
  public synchronized void onState(State state) {
    engine.state(state);
    note(cold.incarnation(state.incarnation()));
  }

  /** Notes that the engine does not answer. */
  public synchronized void onUnreachable() {
    engine.unreachable();
  }

  /** Notes a load report, which lags. */
  public synchronized void onLoad(Load load) {
    engine.load(load);
    cold.coldValue(configuration.current().map(c -> c.limits().coldStartConcurrency()).orElse(1));
    cold.batch(load.maxBatch());
    note(cold.report(load.incarnation(), load.cold()));
  }

  /**
   * Notes a crash of the engine with the digests of the requests that were in flight. A digest that
   * was in flight at two crashes here is quarantined here, also while the table is unavailable.
   */
  public synchronized void onCrash(Collection<String> digests) {
    suspects.crashed(digests);
    engine.unreachable();
    cold.turnCold();
    note(true);
  }

  /** Stops or resumes submitting, around an order that swaps the weights. */
  public synchronized void suspendSubmission(boolean on) {
    engine.hold(on);
  }

  /** Returns the runs that may execute at the moment. */
  public synchronized int allowance() {
    return cold.allowance();
  }

  /** Returns the number of executing runs. */
  public synchronized int active() {
    return active.size();
  }

  /** Returns the number of waiting runs. */
  public synchronized int queued() {
    return queue.size();
  }

  /** Returns the weight version that the engine holds, empty if it is not known. */
  public synchronized String weightVersion() {
    return engine.weightVersion();
  }

  /** Returns the prompt tokens that the engine computes a second. */
  public synchronized double prefillTokensPerSecond() {
    return engine.prefillTokensPerSecond();
  }

  /** Reservations were given for the allowance that is lost, so they end with it. */
  private void note(boolean isCold) {
    if (isCold) {
      turnedCold = true;
      reservations.clear();
    }
  }

  private Optional<Failure> capacityRefusal() {
    int taken = active.size() + queue.size() + reservations.count();
    int slots = cold.allowance();
    int room =
        cold.isWarming() ? Math.min(QUEUE_CAPACITY, COLD_QUEUE_FACTOR * slots) : QUEUE_CAPACITY;
    if (taken < slots + room) {
      return Optional.empty();
    }
    ErrorKind kind = cold.isWarming() ? ErrorKind.SERVER_COLD : ErrorKind.OVERLOADED;
    String message = taken + " runs for an allowance of " + slots;
    return Optional.of(new Failure(kind, message, engine.retryAfterMs()));
  }

  private Optional<Failure> suspectRefusal(AdmissionRequest r) {
    Stream<AdmissionRequest> tickets =
        Stream.concat(active.stream(), waiting.stream()).map(Ticket::request);
    return suspects.refusal(
        r, Stream.concat(tickets, reservations.requests()), engine.retryAfterMs());
  }

  /** The sender names the version that it asked for or the one that it was offered. */
  private Optional<Failure> versionRefusal(Reservation held, AdmissionRequest started) {
    boolean same = held.weightVersion().equals(engine.weightVersion());
    String named = started.weightVersion();
    boolean known =
        named.equals(held.weightVersion()) || named.equals(held.request().weightVersion());
    return same && known
        ? Optional.empty()
        : Optional.of(Failure.of(ErrorKind.WRONG_VERSION, "weights changed since the reservation"));
  }

  private Optional<Failure> dropReason(Ticket t) {
    if (turnedCold) {
      return coldRefusal();
    }
    return lateRefusal(t).or(() -> versionOf(t)).or(() -> suspects.quarantine(t.request()));
  }

  private Optional<Failure> lateRefusal(Ticket t) {
    return clock.nowMs() < t.deadlineAtMs()
        ? Optional.empty()
        : Optional.of(Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue"));
  }

  private Optional<Failure> versionOf(Ticket t) {
    boolean same = t.weightVersion().equals(engine.weightVersion());
    return engine
        .refusal(t.request())
        .or(
            () ->
                same
                    ? Optional.empty()
                    : Optional.of(
                        Failure.of(ErrorKind.WRONG_VERSION, "weights changed while waiting")));
  }

  private Optional<Failure> coldRefusal() {
    return Optional.of(
        new Failure(ErrorKind.SERVER_COLD, "the server turned cold", engine.retryAfterMs()));
  }

  private Ticket ticket(Reservation held, AdmissionRequest request) {
    long deadline = clock.nowMs() + Math.max(0, request.deadlineMs());
    return new Ticket(request, held.weightVersion(), deadline, held.prefillTokens());
  }

  /** Returns the prompt tokens of executing runs that the engine has still to compute. */
  private long backlog() {
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

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
import org.cowslipyoke.suspect.SuspectList.Standing;
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
  public record Effort(int recomputedTokens, long fetchMs) {}

  /** An accepted probe. */
  public record Grant(
      long reservationId, long ttftMs, int queued, int active, String weightVersion) {}

  private final Clock clock;
  private final ServerStanding standing;
  private final ConfigurationHolder configuration;
  private final SuspectList suspects;
  private final SuspectList ownCrashes = new SuspectList();
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
      ServerStanding standing,
      ConfigurationHolder configuration,
      SuspectList suspects,
      RandomGenerator random) {
    this.clock = clock;
    this.standing = standing;
    this.configuration = configuration;
    this.suspects = suspects;
    this.cold = new ColdStartLimit(1);
    this.reservations = new Reservations(clock, random);
  }

  /** Decides on a probe and reserves capacity for it. */
  public synchronized Either<Failure, Grant> probe(AdmissionRequest probed, Effort effort) {
    Optional<Failure> closed = standing.refusal();
    if (closed.isPresent()) {
      return left(closed.get());
    }
    AdmissionRequest request = withStanding(probed);
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
            + engine.firstTokenMs(effort.recomputedTokens());
    if (ttft > request.deadlineMs()) {
      return left(
          new Failure(
              ErrorKind.DEADLINE_TOO_SHORT,
              "estimated time to the first token is " + ttft + " ms",
              engine.retryAfterMs()));
    }
    Reservation r = reservations.reserve(request, engine.weightVersion());
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
    AdmissionRequest request = withStanding(started);
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
    Ticket ticket =
        new Ticket(
            request, held.get().weightVersion(), clock.nowMs() + Math.max(0, request.deadlineMs()));
    int cost = 1 + request.promptTokens() / BlockChain.BLOCK_TOKENS;
    int weight = weight(request.organisation());
    if (!queue.offer(request.priority(), request.organisation(), weight, cost, ticket)) {
      return left(new Failure(ErrorKind.OVERLOADED, "the queue is full", engine.retryAfterMs()));
    }
    waiting.add(ticket);
    return right(ticket);
  }

  /**
   * Removes the waiting runs that must not be submitted any more. To be called before {@link #next}
   * and periodically; the runs are returned to their entries as not run.
   */
  public synchronized List<Dropped> sweep() {
    List<Dropped> dropped = new ArrayList<>();
    Optional<Failure> moved = standing.moved();
    long now = clock.nowMs();
    List<Ticket> removed =
        queue.removeIf(
            t -> {
              Optional<Failure> reason = moved.or(() -> dropReason(t, now));
              reason.ifPresent(f -> dropped.add(new Dropped(t, f)));
              return reason.isPresent();
            });
    turnedCold = false;
    for (Ticket t : removed) {
      t.done();
      waiting.remove(t);
    }
    return dropped;
  }

  /**
   * Returns the run that may be submitted now; empty if none waits, the allowance is used up, or
   * {@link #sweep} has runs to remove first.
   */
  public synchronized Optional<Ticket> next() {
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
          t.activate(cold.period(), clock.nowMs());
          active.add(t);
        });
    return next;
  }

  /** Removes a waiting run, for example because its caller cancelled it; false if not waiting. */
  public synchronized boolean withdraw(Ticket ticket) {
    boolean found = !queue.removeIf(t -> t.equals(ticket)).isEmpty();
    if (found) {
      ticket.done();
      waiting.remove(ticket);
    }
    return found;
  }

  /** Notes the first token of a run. */
  public synchronized void firstToken(Ticket ticket, long tookMs, int recomputedTokens) {
    long expected = engine.expectedFirstTokenMs(recomputedTokens);
    note(cold.firstToken(ticket.period(), tookMs, expected));
  }

  /**
   * Notes that a run has left the engine.
   *
   * @param complete whether it reached its end there; only such a run earns allowance and clears
   *     its request of suspicion
   */
  public synchronized void finished(Ticket ticket, boolean complete) {
    if (!active.remove(ticket)) {
      return;
    }
    ticket.done();
    if (complete) {
      cold.completed(ticket.period());
      engine.ran(clock.nowMs() - ticket.startedMs());
      String digest = ticket.request().digest();
      if (ownCrashes.current().entries().containsKey(digest)) {
        ownCrashes.offer(ownCrashes.current().without(digest, clock.wallMs()));
      }
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
    for (String d : new LinkedHashSet<>(digests)) {
      ownCrashes.offer(ownCrashes.current().withCrash(d, clock.wallMs()));
    }
    engine.unreachable();
    cold.turnCold();
    note(true);
  }

  /** Stops or resumes submitting, around an order that swaps the weights. */
  public synchronized void holdForSwap(boolean on) {
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

  /** The list may have named a request after it was admitted. */
  private boolean isSuspect(AdmissionRequest r) {
    return r.suspect() || standing(r.digest()) != Standing.CLEAR;
  }

  private AdmissionRequest withStanding(AdmissionRequest r) {
    return standing(r.digest()) == Standing.CLEAR ? r : r.asSuspect();
  }

  private Standing standing(String digest) {
    long wall = clock.wallMs();
    Standing known = suspects.standing(digest, wall);
    Standing own = ownCrashes.standing(digest, wall);
    return known.compareTo(own) >= 0 ? known : own;
  }

  private Optional<Failure> suspectRefusal(AdmissionRequest r) {
    if (standing(r.digest()) == Standing.QUARANTINED) {
      return Optional.of(
          Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers"));
    }
    if (!r.suspect()) {
      return Optional.empty();
    }
    boolean busy =
        reservations.any(this::isSuspect)
            || active.stream().anyMatch(t -> isSuspect(t.request()))
            || waiting.stream().anyMatch(t -> isSuspect(t.request()));
    return busy
        ? Optional.of(
            new Failure(ErrorKind.SUSPECT_BUSY, "another suspect is here", engine.retryAfterMs()))
        : Optional.empty();
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

  private Optional<Failure> dropReason(Ticket t, long now) {
    if (turnedCold) {
      return Optional.of(
          new Failure(ErrorKind.SERVER_COLD, "the server turned cold", engine.retryAfterMs()));
    }
    if (now >= t.deadlineAtMs()) {
      return Optional.of(
          Failure.of(ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue"));
    }
    Optional<Failure> refusal = engine.refusal(t.request());
    if (refusal.isPresent()) {
      return refusal;
    }
    return t.weightVersion().equals(engine.weightVersion())
        ? suspectQuarantine(t)
        : Optional.of(Failure.of(ErrorKind.WRONG_VERSION, "weights changed while waiting"));
  }

  private Optional<Failure> suspectQuarantine(Ticket t) {
    return standing(t.request().digest()) == Standing.QUARANTINED
        ? Optional.of(
            Failure.of(ErrorKind.QUARANTINED, "earlier runs of this request crashed servers"))
        : Optional.empty();
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

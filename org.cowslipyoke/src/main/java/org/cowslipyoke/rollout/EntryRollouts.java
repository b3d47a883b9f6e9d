package org.cowslipyoke.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CandidateFilter;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.rollout.RolloutController.Situation;
import org.cowslipyoke.rollout.RolloutReport.ServiceReport;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * The part of one entry in all rollouts: chooses the version that each request goes to, counts the
 * answers, exchanges counts with the other entries, and stops using a target that proves bad
 * without waiting for the owner. Thread-safe.
 */
public final class EntryRollouts implements CandidateFilter, AttemptObserver {

  /** Interval of reports while a rollout runs, in milliseconds. */
  static final long REPORT_MS = 300;

  /** Minimum time between two reports, also after bad answers, in milliseconds. */
  static final long URGENT_REPORT_MS = 100;

  /** Time without an owner's report after which the entry with rank 0 takes over, in ms. */
  static final long OWNER_SILENT_MS = 1_200;

  /** Additional time for each rank, in milliseconds. */
  static final long OWNER_RANK_MS = 150;

  /** Delay that is suggested to callers when no server of an admitted version is available. */
  private static final long RETRY_AFTER_MS = 200;

  private final Clock clock;
  private final RolloutBounds bounds;
  private final String vm;
  private final RandomGenerator random;
  private final RolloutListener listener;
  private final long startedMs;
  private final RolloutTable table;
  private final VersionSightings sightings;
  private final AttemptTracker tracker;
  private final Map<String, LocalRollout> local = new HashMap<>();
  private Map<String, RolloutOrder> orders = Map.of();
  private final Map<String, Long> orderedMs = new HashMap<>();
  private long sequence;
  private long reportedMs = Long.MIN_VALUE / 2;
  private boolean urgent;
  private boolean owner;
  private long ownerHeardMs;
  private LongFunction<@Nullable Long> toMonotonicMs = t -> null;

  /**
   * Creates the part of an entry.
   *
   * @param vm name of the entry
   */
  public EntryRollouts(
      Clock clock,
      RolloutBounds bounds,
      String vm,
      RandomGenerator random,
      RolloutListener listener) {
    this.listener = listener;
    this.clock = clock;
    this.bounds = bounds;
    this.table = new RolloutTable(bounds.rollbackMs());
    this.vm = vm;
    this.random = random;
    this.startedMs = clock.wallMs();
    this.ownerHeardMs = clock.nowMs();
    this.sightings = new VersionSightings(clock);
    this.tracker = new AttemptTracker(sightings);
  }

  /**
   * Sets the conversion of the table's clock to the monotonic one; it returns null if the offset is
   * unknown.
   */
  public synchronized void setTableClock(LongFunction<@Nullable Long> conversion) {
    toMonotonicMs = conversion;
  }

  /** Returns the bounds that hold for all rollouts. */
  public RolloutBounds bounds() {
    return bounds;
  }

  /** Returns this entry's copy of the table. */
  public RolloutTable table() {
    return table;
  }

  /**
   * Replaces the orders by service.
   *
   * @param lastWithoutMs monotonic time at which new orders did not exist yet
   */
  public synchronized void setOrders(Map<String, RolloutOrder> next, long lastWithoutMs) {
    if (next.equals(orders)) {
      return;
    }
    next.forEach(
        (service, o) -> {
          RolloutOrder before = orders.get(service);
          if (before == null || !before.target().equals(o.target())) {
            orderedMs.put(service, lastWithoutMs);
          }
        });
    orderedMs.keySet().retainAll(next.keySet());
    if (!isActive()) {
      ownerHeardMs = clock.nowMs();
    }
    listener.ordersChanged(next);
    orders = Map.copyOf(next);
  }

  /** Returns the order for a service, null if there is none. */
  public synchronized @Nullable RolloutOrder order(String service) {
    return orders.get(service);
  }

  /** Returns the services with an order or a state that the owner has to act on. */
  public synchronized Set<String> activeServices() {
    Set<String> active = new HashSet<>();
    orders.forEach(
        (service, o) -> {
          RolloutState s = table.state(service);
          if (s == null || s.closed() || !s.step().isOver() || !s.target().equals(o.target())) {
            active.add(service);
          }
        });
    table
        .states()
        .forEach(
            (service, s) -> {
              if (!orders.containsKey(service) && !s.closed()) {
                active.add(service);
              }
            });
    return active;
  }

  /** Returns whether there is something for an owner to do. */
  public synchronized boolean isActive() {
    return !activeServices().isEmpty();
  }

  /** Applies the copy of the table and evaluates the answers; called several times per second. */
  public synchronized void tick(FleetState state) {
    sightings.observe(state);
    applyTable(state);
    long now = clock.nowMs();
    for (LocalRollout r : local.values()) {
      isMoved(r);
      tracker.countOverdue(r, VersionComparison.slowLimits(r.evidence), now);
      List<BackendServer> targets =
          VersionChoice.only(state.available(r.state.service()), r.state.target());
      if (r.evaluate(vm, startedMs, now, targets)) {
        urgent = true;
        listener.halted(progress(r), r.halted());
      }
    }
  }

  private void applyTable(FleetState state) {
    Map<String, RolloutState> states = table.states();
    states.forEach(
        (service, s) -> {
          LocalRollout r = local.get(service);
          if (!s.step().isOver() && (r == null || !r.matches(s))) {
            double draw = random.nextDouble();
            r = new LocalRollout(s, new TargetAllowance(bounds.slack(), state.entries(), draw));
            local.put(service, r);
            listener.stepChanged(s);
          } else if (r != null && r.matches(s) && !r.state.equals(s)) {
            urgent |= r.state.step() != s.step();
            if (r.state.step() != s.step()) {
              listener.stepChanged(s);
            }
            r.state = s;
          }
        });
    local.values().removeIf(r -> isOver(states.get(r.state.service())));
  }

  private static boolean isOver(@Nullable RolloutState s) {
    return s == null || s.step().isOver();
  }

  @Override
  public synchronized Remaining filter(
      Placed request, FleetState state, List<BackendServer> candidates) {
    sightings.observe(state);
    RolloutOrder order = orders.get(request.service());
    RolloutState s = table.state(request.service());
    List<BackendServer> allowed = s == null ? candidates : VersionChoice.notRejected(candidates, s);
    List<BackendServer> admitted = admitted(request, state, allowed, order, s);
    return new Remaining(admitted, admitted.isEmpty() ? RETRY_AFTER_MS : 0);
  }

  private List<BackendServer> admitted(
      Placed request,
      FleetState state,
      List<BackendServer> candidates,
      @Nullable RolloutOrder order,
      @Nullable RolloutState s) {
    if (s != null && !s.step().isOver()) {
      boolean ordered = order != null && order.target().equals(s.target());
      return ordered
          ? duringRollout(request, state, candidates, s)
          : VersionChoice.without(candidates, s.target());
    }
    if (order != null && (s == null || s.closed() || !s.target().equals(order.target()))) {
      return beforeFirstStep(request.service(), state, candidates, order, s);
    }
    if (s != null) {
      return VersionChoice.afterRollout(s, state, candidates);
    }
    List<BackendServer> usable =
        candidates.stream().filter(c -> sightings.isUsable(c, state)).toList();
    return usable.isEmpty() ? candidates : usable;
  }

  /** Returns the candidates while there is an order whose rollout has no state yet. */
  private List<BackendServer> beforeFirstStep(
      String service,
      FleetState state,
      List<BackendServer> candidates,
      RolloutOrder order,
      @Nullable RolloutState s) {
    List<BackendServer> rest = VersionChoice.without(candidates, order.target());
    if (s != null && s.step() == RolloutStep.ROLLED_BACK) {
      rest = VersionChoice.without(rest, s.target());
    }
    boolean only = VersionChoice.isOnly(state, service, order.target());
    return only && sightings.isEstablished(service, order.target()) ? candidates : rest;
  }

  private List<BackendServer> duringRollout(
      Placed request, FleetState state, List<BackendServer> candidates, RolloutState s) {
    List<BackendServer> target = VersionChoice.only(candidates, s.target());
    List<BackendServer> old = VersionChoice.old(candidates, s);
    LocalRollout r = local.get(request.service());
    boolean halted = r != null && !r.halted().isEmpty();
    if (target.isEmpty() || halted || r == null || !r.matches(s)) {
      return old;
    }
    boolean all = isMoved(r);
    if (all && table.isRecent(clock.nowMs())) {
      return target;
    }
    if (!table.isCurrent(clock.nowMs())) {
      return all && VersionChoice.isOnly(state, request.service(), s.target()) ? target : old;
    }
    boolean retry = request.attempts() > 0 && !old.isEmpty();
    if (retry || r.isOversampled(request.route().name()) || !r.allowance.tryTake()) {
      return old;
    }
    return VersionChoice.canaries(target, state, s, r.failingServers(), clock.wallMs());
  }

  private boolean isMoved(LocalRollout r) {
    return r.isMoved(toMonotonicMs.apply(r.state.sinceMs()), clock.nowMs());
  }

  @Override
  public synchronized void started(AttemptObserver.Attempt a) {
    LocalRollout r = local.get(a.service());
    tracker.recordStart(a, r != null);
    if (r != null) {
      boolean target = a.server().software().equals(r.state.target());
      r.recordRequest(target);
    }
  }

  @Override
  public synchronized void contentReceived(AttemptObserver.Attempt a, long nowMs, boolean first) {
    if (first) {
      tracker.recordFirstContent(a, nowMs);
    }
  }

  @Override
  public synchronized void ended(AttemptObserver.Attempt a, Ended e) {
    urgent |= tracker.recordEnd(a, e, local.get(a.service()));
  }

  /** Applies a report of another entry. */
  public synchronized void accept(RolloutReport report) {
    if (report.vm().equals(vm)) {
      return;
    }
    long now = clock.nowMs();
    Long atMs = report.asOfMs() < 0 ? null : toMonotonicMs.apply(report.asOfMs());
    table.hear(report.tableVersion(), atMs, report.asOfMs(), now);
    if (report.owner()) {
      ownerHeardMs = now;
    }
    for (ServiceReport x : report.services()) {
      LocalRollout r = local.get(x.service());
      if (r != null && r.state.startedMs() == x.rolloutMs()) {
        r.accept(report, x, now);
      }
    }
  }

  /** Returns the report that is due, empty if there is none. */
  public synchronized Optional<RolloutReport> nextReport() {
    long now = clock.nowMs();
    long interval = urgent ? URGENT_REPORT_MS : REPORT_MS;
    if (now - reportedMs < interval || (local.isEmpty() && !urgent && !owner)) {
      return Optional.empty();
    }
    reportedMs = now;
    // The owner waits for the end of requests at old servers, so these are reported often.
    urgent = local.values().stream().anyMatch(r -> r.state.step() == RolloutStep.FINAL);
    boolean current = table.isCurrent(now);
    List<ServiceReport> services = new ArrayList<>();
    local.forEach((service, r) -> services.add(r.report(current, tracker.oldInFlight(r.state))));
    return Optional.of(
        new RolloutReport(
            vm, startedMs, ++sequence, table.version(), table.asOfTableMs(), owner, services));
  }

  /** Sets whether this entry owns the rollouts. */
  public synchronized void setOwner(boolean own) {
    urgent |= owner != own;
    owner = own;
  }

  /**
   * Returns whether this entry should try to become the owner.
   *
   * @param rank position of this entry among the live ones, 0 for the first
   */
  public synchronized boolean isOwnerMissing(int rank) {
    long silentMs = OWNER_SILENT_MS + OWNER_RANK_MS * rank;
    // The first entry need not wait when an order is new.
    return owner || (rank == 0 && local.isEmpty()) || clock.nowMs() - ownerHeardMs >= silentMs;
  }

  /**
   * Returns what the owner needs to know about a service.
   *
   * @param tableNowMs time of the table's clock
   */
  public synchronized Situation situation(String service, FleetState state, long tableNowMs) {
    Set<String> versions = new HashSet<>();
    for (BackendServer s : state.servers().values()) {
      if (s.group().equals(service) && !s.software().isEmpty()) {
        versions.add(s.software());
      }
    }
    long ageMs = clock.nowMs() - orderedMs.getOrDefault(service, clock.nowMs());
    LocalRollout r = local.get(service);
    if (r == null) {
      return new Situation(tableNowMs, tableNowMs - ageMs, versions, Verdict.NONE, "", false, 0, 0);
    }
    boolean drained =
        tracker.oldInFlight(r.state) == 0 && r.drainedPeers(clock.nowMs()) >= state.entries() - 1;
    return new Situation(
        tableNowMs,
        tableNowMs - ageMs,
        versions,
        r.verdict(),
        r.halted(),
        drained,
        r.fleetRequests(),
        r.fleetTargetRequests());
  }

  /** Progress of a rollout for metrics. */
  public record Progress(RolloutState state, Verdict verdict, long requests, long toTarget) {}

  /** Returns the progress of the running rollouts as far as this entry knows it. */
  public synchronized List<Progress> progress() {
    return local.values().stream().map(EntryRollouts::progress).toList();
  }

  private static Progress progress(LocalRollout r) {
    return new Progress(r.state, r.verdict(), r.fleetRequests(), r.fleetTargetRequests());
  }
}

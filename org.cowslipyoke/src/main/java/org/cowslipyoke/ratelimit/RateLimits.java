package org.cowslipyoke.ratelimit;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cowslipyoke.ratelimit.PermitGranters.Choice;
import org.cowslipyoke.ratelimit.RateReport.Addressed;
import org.cowslipyoke.ratelimit.RateReport.Demand;
import org.cowslipyoke.ratelimit.RateReport.Grant;
import org.cowslipyoke.ratelimit.RateReport.Statement;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CandidateFilter;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.ServerNotice;
import org.cowslipyoke.util.Clock;

/**
 * Keeps all entries together within the rates that servers in need name in their responses.
 *
 * <p>For each such server one entry, the first in a rendezvous order of the live entries, grants
 * permits at the server's rate to the entries that demand some. A request needs a permit; without
 * one the server is no candidate. All requests of callers count: first attempts, retries and runs
 * that go on elsewhere. Reports, cache events, orders and probes don't. Thread-safe.
 */
public final class RateLimits implements CandidateFilter, AttemptObserver {

  /**
   * Time after which an entry that takes over a server from another grants its first permits, in
   * milliseconds. By then the lists of live entries agree and permits of the other have expired.
   */
  static final long HANDOVER_MS = 2_000;

  /** Age of a limit below which no other entry can have granted permits, in milliseconds. */
  private static final long NEW_MS = 1_000;

  /** Time after the start of the process in which it may not know of limits, in milliseconds. */
  private static final long START_MS = 5_000;

  /**
   * Highest rate that is limited, in requests per second; above what entries send to one server.
   * The work and the memory for permits grow with the rate.
   */
  static final double MAX_RATE = 1_000;

  /** Number of reports that state the end of a limit, so that two lost ones do no harm. */
  private static final int END_REPEATS = 3;

  /** Part of the time to the next permit by which the retry delays of callers are spread. */
  private static final double RETRY_SPREAD = 0.25;

  /** Maximum number of incarnations tracked; above the servers of the largest deployment. */
  private static final int MAX_SERVERS = 8_192;

  /** Time after which a limit that no request asked for is forgotten. */
  private static final Duration IDLE = Duration.ofSeconds(60);

  /** Maximum number of requests whose arrival is remembered; they are placed again as they wait. */
  private static final int MAX_ARRIVALS = 8_192;

  /**
   * A rate that differs from the one known before.
   *
   * @param rate requests per second, {@link ServerNotice#NO_RATE} if the limit has ended
   * @param source VM of the entry that stated it, empty if the server did so itself
   */
  public record Change(String incarnation, double rate, String source) {}

  private final Clock clock;
  private final String vm;
  private final RandomGenerator random;
  private final Consumer<Change> onChange;
  private final long startedMs;
  private final Cache<String, RateLimit> limits;
  private final Cache<String, Boolean> arrived =
      Caffeine.newBuilder().maximumSize(MAX_ARRIVALS).executor(Runnable::run).build();
  private final Map<String, PermitDistributor> distributors = new HashMap<>();
  private final Map<String, Integer> endsToState = new LinkedHashMap<>();
  private final Map<String, List<Grant>> responses = new HashMap<>();
  private final PermitGranters granters;
  private long statedMs;

  /**
   * Creates a record without limits.
   *
   * @param vm VM of this entry
   * @param onChange told of each change of a rate
   */
  public RateLimits(Clock clock, String vm, RandomGenerator random, Consumer<Change> onChange) {
    this.clock = clock;
    this.vm = vm;
    this.random = random;
    this.onChange = onChange;
    this.startedMs = clock.nowMs();
    this.granters = new PermitGranters(vm);
    this.limits =
        Caffeine.newBuilder()
            .maximumSize(MAX_SERVERS)
            .expireAfterAccess(IDLE)
            .ticker(() -> clock.nowMs() * 1_000_000)
            .executor(Runnable::run)
            .build();
  }

  /** Replaces the other live entries. */
  public synchronized void setMembers(List<String> others) {
    granters.setOthers(others);
  }

  /** Returns the number of servers with a limit. */
  public long limitedCount() {
    return limits.asMap().values().stream().filter(RateLimit::isLimited).count();
  }

  @Override
  public synchronized Remaining filter(
      Placed request, FleetState state, List<BackendServer> candidates) {
    if (limits.estimatedSize() == 0) {
      return new Remaining(candidates, 0);
    }
    long now = clock.nowMs();
    boolean first = arrived.asMap().putIfAbsent(request.id(), true) == null;
    double soonestMs = Double.MAX_VALUE;
    List<BackendServer> open = new ArrayList<>();
    for (BackendServer s : candidates) {
      RateLimit l = limits.getIfPresent(s.incarnation());
      if (l == null || !l.isLimited()) {
        open.add(s);
        continue;
      }
      if (first) {
        l.recordArrival();
      }
      if (l.hasPermit(now)) {
        open.add(s);
      } else {
        soonestMs = Math.min(soonestMs, 1_000 / l.permitRate());
      }
    }
    boolean known = open.isEmpty() && soonestMs < Double.MAX_VALUE;
    return new Remaining(
        open, known ? Math.round(soonestMs * (1 + RETRY_SPREAD * random.nextDouble())) : 0);
  }

  @Override
  public synchronized void started(Attempt a) {
    RateLimit l = limits.getIfPresent(a.server().incarnation());
    if (l != null && l.isLimited()) {
      l.usePermit();
    }
  }

  @Override
  public void headReceived(Attempt a, ServerNotice notice) {
    String incarnation = a.server().incarnation();
    double rate = bounded(notice.rate());
    if (rate == ServerNotice.UNKNOWN_RATE) {
      return;
    }
    synchronized (this) {
      if (rate != ServerNotice.NO_RATE) {
        learn(incarnation, rate, clock.nowMs(), "");
        return;
      }
      RateLimit l = limits.getIfPresent(incarnation);
      // A request that was sent before the rate was named says nothing about the present.
      if (l != null && l.isLimited() && a.startMs() > l.namedMs()) {
        learn(incarnation, rate, a.startMs(), "");
        endsToState.put(incarnation, END_REPEATS);
      }
    }
  }

  private static double bounded(double rate) {
    return rate > MAX_RATE ? ServerNotice.NO_RATE : rate;
  }

  private void learn(String incarnation, double rate, long atMs, String source) {
    long now = clock.nowMs();
    RateLimit l = limits.get(incarnation, k -> new RateLimit(now));
    if (l.update(rate, atMs, now)) {
      onChange.accept(new Change(incarnation, rate, source));
    }
    if (!l.isLimited()) {
      distributors.remove(incarnation);
    } else {
      endsToState.remove(incarnation);
    }
  }

  /** Applies a report of another entry. */
  public synchronized void accept(RateReport r) {
    long now = clock.nowMs();
    granters.recordHeard(r.sender());
    for (Statement s : r.statements()) {
      boolean known = limits.getIfPresent(s.incarnation()) != null;
      if (known || s.rate() != ServerNotice.NO_RATE) {
        learn(s.incarnation(), bounded(s.rate()), now - s.ageMs(), r.sender());
      }
    }
    for (Demand d : r.demands()) {
      recordDemand(r.sender(), d, now);
      responses
          .computeIfAbsent(r.sender(), k -> new ArrayList<>())
          .add(new Grant(d.incarnation(), 0));
    }
    for (Grant g : r.grants()) {
      RateLimit l = limits.getIfPresent(g.incarnation());
      if (l != null) {
        l.addPermits(g.permits(), now);
      }
    }
  }

  private void recordDemand(String from, Demand d, long now) {
    RateLimit l = limits.getIfPresent(d.incarnation());
    if (l == null || !l.isLimited() || d.arrivals() == 0) {
      return;
    }
    boolean takesOver = now - l.limitedSinceMs() > NEW_MS || now - startedMs < START_MS;
    distributors
        .computeIfAbsent(
            d.incarnation(), k -> new PermitDistributor(now + (takesOver ? HANDOVER_MS : 0)))
        .demand(from, d.arrivals(), d.unused(), now);
  }

  /**
   * Returns the reports that are due to single entries; called periodically, at an interval well
   * below {@link PermitGranters#MIN_INTERVAL_MS}.
   */
  public synchronized List<Addressed> takeDue() {
    if (limits.estimatedSize() == 0) {
      return List.of();
    }
    long now = clock.nowMs();
    Map<String, List<Demand>> demands = new HashMap<>();
    Map<String, List<Statement>> statements = new HashMap<>();
    limits
        .asMap()
        .forEach((incarnation, l) -> sendDemand(incarnation, l, demands, statements, now));
    grantPermits(now);
    Set<String> receivers = new HashSet<>(demands.keySet());
    receivers.addAll(responses.keySet());
    List<Addressed> due = new ArrayList<>();
    for (String to : receivers) {
      due.add(
          new Addressed(
              to,
              new RateReport(
                  vm,
                  limited(statements.getOrDefault(to, List.of())),
                  limited(demands.getOrDefault(to, List.of())),
                  limited(responses.getOrDefault(to, List.of())))));
    }
    responses.clear();
    return due;
  }

  private static <T> List<T> limited(List<T> all) {
    return List.copyOf(all.subList(0, Math.min(all.size(), RateReport.MAX_ELEMENTS)));
  }

  /** Demands permits of one server from the entry that grants them, and probes silent ones. */
  private void sendDemand(
      String incarnation,
      RateLimit l,
      Map<String, List<Demand>> demands,
      Map<String, List<Statement>> statements,
      long now) {
    if (!l.isLimited()) {
      return;
    }
    Choice c = granters.choose(incarnation, isDemandedByOthers(incarnation, now), now);
    Map<String, Demand> due = new HashMap<>();
    for (String m : c.silent()) {
      if (granters.takeProbe(m, now)) {
        due.put(m, new Demand(incarnation, 0, 0));
      }
    }
    if (c.granter().isEmpty()) {
      l.accrueShare(granters.size(), now);
    } else {
      l.resetShare(now);
      if (l.isDemandDue(granters.intervalMs(), now)) {
        due.put(c.granter(), new Demand(incarnation, l.takeArrivals(now), l.takeUnused(now)));
      }
    }
    due.forEach(
        (to, d) -> {
          if (to.equals(vm)) {
            recordDemand(vm, d, now);
            return;
          }
          demands.computeIfAbsent(to, k -> new ArrayList<>()).add(d);
          statements
              .computeIfAbsent(to, k -> new ArrayList<>())
              .add(statement(incarnation, l, now));
          granters.recordAsked(to, now);
        });
  }

  private boolean isDemandedByOthers(String incarnation, long now) {
    PermitDistributor d = distributors.get(incarnation);
    return d != null && d.isDemandedByOthers(vm, now - granters.demandValidMs());
  }

  private void grantPermits(long now) {
    long validMs = granters.demandValidMs();
    distributors.values().removeIf(d -> now - d.lastDemandMs() > validMs + HANDOVER_MS);
    distributors.forEach(
        (incarnation, d) -> {
          RateLimit l = limits.getIfPresent(incarnation);
          if (l != null && l.isLimited()) {
            d.take(l.permitRate(), validMs, now)
                .forEach((to, n) -> grant(to, l, new Grant(incarnation, n), now));
          }
        });
  }

  private void grant(String to, RateLimit l, Grant g, long now) {
    if (to.equals(vm)) {
      l.addPermits(g.permits(), now);
    } else {
      responses.computeIfAbsent(to, k -> new ArrayList<>()).add(g);
    }
  }

  /**
   * Returns the report that is due to all other entries, if it states anything. The entry that
   * grants the permits of a server repeats its rate, so that others need not learn it by a request.
   */
  public synchronized List<RateReport> takeDueToAll() {
    long now = clock.nowMs();
    List<Statement> all = new ArrayList<>();
    for (String incarnation : endsToState.keySet()) {
      RateLimit l = limits.getIfPresent(incarnation);
      if (l != null) {
        all.add(statement(incarnation, l, now));
      }
    }
    endsToState.replaceAll((k, n) -> n - 1);
    endsToState.values().removeIf(n -> n <= 0);
    if (!distributors.isEmpty() && now - statedMs >= granters.intervalMs()) {
      statedMs = now;
      for (String incarnation : distributors.keySet()) {
        RateLimit l = limits.getIfPresent(incarnation);
        if (l != null) {
          all.add(statement(incarnation, l, now));
        }
      }
    }
    return all.isEmpty()
        ? List.of()
        : List.of(new RateReport(vm, limited(all), List.of(), List.of()));
  }

  private static Statement statement(String incarnation, RateLimit l, long now) {
    return new Statement(incarnation, l.rate(), Math.max(0, now - l.namedMs()));
  }
}

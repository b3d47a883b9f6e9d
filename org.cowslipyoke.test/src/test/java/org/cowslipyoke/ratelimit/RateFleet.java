package org.cowslipyoke.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.ratelimit.RateReport.Addressed;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CandidateFilter.Placed;
import org.cowslipyoke.relay.CandidateFilter.Remaining;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.RequestKind;
import org.cowslipyoke.relay.Route;
import org.cowslipyoke.relay.ServerNotice;
import org.cowslipyoke.util.Clock;

/** Entries before servers of which some name rates, in simulated time with lossy messages. */
final class RateFleet {

  static final long STEP_MS = 10;

  private static final long TICK_MS = 50;
  private static final long MESSAGE_MS = 5;
  private static final long RESPONSE_MS = 30;
  private static final double LOSS = 0.05;

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          RequestKind.IDEMPOTENT,
          false,
          1_000,
          0,
          2,
          5,
          false,
          List.of(new Route.Share("s", 1)));

  /** A request that has reached a server. */
  record Sent(long atMs, int entry, String server, boolean told) {}

  private record Event(long atMs, long order, Runnable action) {}

  /** The clock of one entry, which stands still while the entry is suspended. */
  private final class EntryClock implements Clock {
    private long suspendedMs;

    @Override
    public long nowMs() {
      return clock.nowMs() - suspendedMs;
    }

    @Override
    public long wallMs() {
      return clock.wallMs();
    }
  }

  /** One entry of the fleet. */
  final class Entry {
    final int index;
    final double perSecond;
    boolean up = true;
    boolean cut;
    private EntryClock own = new EntryClock();
    private RateLimits limits;
    private final Map<String, Long> toldMs = new HashMap<>();

    Entry(int index, double perSecond) {
      this.index = index;
      this.perSecond = perSecond;
      this.limits = limits();
    }

    private RateLimits limits() {
      return new RateLimits(own, vm(), random, c -> {});
    }

    String vm() {
      return "vm" + index;
    }

    void restart() {
      own = new EntryClock();
      limits = limits();
      toldMs.clear();
      up = true;
      updateMembers();
    }
  }

  final ManualClock clock = new ManualClock();
  final List<Entry> entries = new ArrayList<>();
  final List<Sent> sent = new ArrayList<>();
  final Map<String, Double> rates = new HashMap<>();
  int refused;
  long retryAfterMs;
  private final List<BackendServer> servers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs() != b.atMs()
                  ? Long.compare(a.atMs(), b.atMs())
                  : Long.compare(a.order(), b.order()));
  private final Random random;
  private long order;

  RateFleet(int entryCount, int serverCount, double perSecond, long seed) {
    random = new Random(seed);
    for (int i = 0; i < serverCount; i++) {
      servers.add(
          new BackendServer("i" + i, 1, "s", "10.0.0.1", 80 + i, "d", false, 0, 4, Map.of()));
    }
    for (int i = 0; i < entryCount; i++) {
      // Callers are spread unevenly.
      entries.add(new Entry(i, perSecond / entryCount * (0.25 + 1.5 * random.nextDouble())));
    }
    updateMembers();
  }

  /** Makes the entries that are up know each other. */
  void updateMembers() {
    List<String> up = entries.stream().filter(e -> e.up).map(Entry::vm).toList();
    for (Entry e : entries) {
      e.limits.setMembers(up.stream().filter(v -> !v.equals(e.vm())).toList());
    }
  }

  String server(int i) {
    return servers.get(i).incarnation();
  }

  void run(long forMs) {
    long endMs = clock.nowMs() + forMs;
    while (clock.nowMs() < endMs) {
      clock.advance(STEP_MS);
      for (Entry e : entries) {
        if (!e.up) {
          e.own.suspendedMs += STEP_MS;
          continue;
        }
        if (random.nextDouble() < e.perSecond * STEP_MS / 1_000) {
          place(e);
        }
        if ((clock.nowMs() + 7L * e.index) % TICK_MS < STEP_MS) {
          tick(e);
        }
      }
      while (!events.isEmpty() && events.peek().atMs() <= clock.nowMs()) {
        events.remove().action().run();
      }
    }
  }

  private void place(Entry e) {
    String id = "r" + order++;
    Placed p = new Placed(id, ROUTE, "s", 5, null, 0);
    Remaining r = e.limits.filter(p, FleetState.initial(0, 0), servers);
    if (r.servers().isEmpty()) {
      refused++;
      retryAfterMs = Math.max(retryAfterMs, r.retryAfterMs());
      return;
    }
    BackendServer s = r.servers().get(random.nextInt(r.servers().size()));
    Attempt a = new Attempt(id, ROUTE, "s", s, null, 1, e.own.nowMs());
    e.limits.started(a);
    Long told = e.toldMs.get(s.incarnation());
    boolean counts = told != null && clock.nowMs() - told >= 500;
    sent.add(new Sent(clock.nowMs(), e.index, s.incarnation(), counts));
    double rate = rates.getOrDefault(s.incarnation(), ServerNotice.NO_RATE);
    after(RESPONSE_MS, () -> respond(e, a, rate));
  }

  private void respond(Entry e, Attempt a, double rate) {
    if (!e.up) {
      return;
    }
    e.limits.headReceived(a, new ServerNotice(200, false, false, 0, rate));
    if (rate == ServerNotice.NO_RATE) {
      e.toldMs.remove(a.server().incarnation());
    } else {
      e.toldMs.putIfAbsent(a.server().incarnation(), clock.nowMs());
    }
  }

  private void tick(Entry e) {
    for (RateReport r : e.limits.takeDueToAll()) {
      entries.stream().filter(o -> !o.equals(e)).forEach(o -> deliver(e, o, r));
    }
    for (Addressed a : e.limits.takeDue()) {
      deliver(e, entries.get(Integer.parseInt(a.vm().substring(2))), a.report());
    }
  }

  private void deliver(Entry from, Entry to, RateReport r) {
    if (!from.cut && !to.cut && to.up && random.nextDouble() >= LOSS) {
      after(MESSAGE_MS, () -> to.limits.accept(r));
    }
  }

  private void after(long ms, Runnable action) {
    events.add(new Event(clock.nowMs() + ms, order++, action));
  }

  /** Returns the most requests in any window at a server since a time, by the platform's rule. */
  long mostInWindow(String server, long sinceMs, long windowMs, List<Integer> excused) {
    List<Sent> counted =
        sent.stream()
            .filter(s -> s.server().equals(server) && s.told() && s.atMs() >= sinceMs)
            .filter(s -> !excused.contains(s.entry()))
            .toList();
    long most = 0;
    for (Sent begin : counted) {
      long end = begin.atMs() + windowMs;
      most =
          Math.max(
              most,
              counted.stream().filter(s -> s.atMs() >= begin.atMs() && s.atMs() < end).count());
    }
    return most;
  }

  /** Returns the requests per second at a server since a time. */
  double perSecond(String server, long sinceMs) {
    long n = sent.stream().filter(s -> s.server().equals(server) && s.atMs() >= sinceMs).count();
    return n * 1_000.0 / (clock.nowMs() - sinceMs);
  }
}

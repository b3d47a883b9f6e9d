package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.PromptAdmission.Applicant;
import org.cowslipyoke.relay.PromptAdmission.Verdict;

/** Plays prompts of several kinds against entries and engines in virtual time. */
final class AdmissionSimulation {

  static final long SEED = 20_261_206;
  private static final long LENGTH_MS = 20_000;
  private static final long ANSWER_MS = 300;
  private static final long REPORT_MS = 700;
  private static final long ANNOUNCE_MS = 3;
  private static final long DELAYED_MS = 150;
  private static final long PUMP_MS = 20;

  /** Prompts of one kind from one organisation, with the time that a response takes. */
  record Kind(
      String organisation,
      int priority,
      long objectiveMs,
      int tokens,
      double perSecond,
      long answerMs) {

    Kind(String organisation, int priority, long objectiveMs, int tokens, double perSecond) {
      this(organisation, priority, objectiveMs, tokens, perSecond, ANSWER_MS);
    }

    int rank() {
      return UrgencyRank.of(priority, objectiveMs < 600);
    }
  }

  /** Results of one kind. */
  static final class Tally {
    int asked;
    int inTime;
    int late;
    int refused;
    int preempted;

    double served() {
      return (inTime + late) / (double) asked;
    }

    double onTime() {
      return inTime / (double) asked;
    }

    @Override
    public String toString() {
      return asked
          + " asked, "
          + inTime
          + " in time, "
          + late
          + " late, "
          + refused
          + " refused, "
          + preempted
          + " preempted";
    }
  }

  /**
   * Setting of a play.
   *
   * @param dark engines that don't answer
   * @param lostReports fraction of the load reports that are lost
   * @param replaced whether the decision before applies: one limit and no ranks
   * @param memoryUnknown whether entries don't know the capacity of the engines' memory
   */
  record Setting(
      int entries,
      int engines,
      int dark,
      double lostReports,
      boolean replaced,
      boolean memoryUnknown) {

    Setting(int entries, int engines, int dark, double lostReports, boolean replaced) {
      this(entries, engines, dark, lostReports, replaced, false);
    }

    Setting replacedDecision() {
      return new Setting(entries, engines, dark, lostReports, true, false);
    }

    Setting withUnknownMemory() {
      return new Setting(entries, engines, dark, lostReports, replaced, true);
    }
  }

  private record Event(long atMs, long order, Runnable action) {}

  /** One request with the entry that it came to. */
  private static final class Call {
    final Kind kind;
    final Entry entry;
    final long startMs;
    final Route route;
    final Prompt prompt;
    boolean waiting;

    Call(Kind kind, Entry entry, long startMs, long number) {
      this.kind = kind;
      this.entry = entry;
      this.startMs = startMs;
      route =
          new Route(
              "r",
              "h",
              "/",
              RequestKind.STREAM,
              true,
              5_000,
              kind.objectiveMs(),
              2,
              kind.priority(),
              false,
              List.of(new Route.Share(RelayFixture.GROUP, 1)));
      List<Prompt.Part> parts = List.of(new Prompt.Part("p" + number, kind.tokens()));
      prompt = new Prompt(RelayFixture.MODEL, kind.tokens(), 50, 50, parts);
    }
  }

  private final class Entry {
    final RelayFixture fixture = new RelayFixture(clock);
    final PromptPlacement placement = fixture.placement();
    final PromptAdmission admission =
        new PromptAdmission(
            placement, new PromptDemand(clock), new OrganisationShares(clock), random);
    final AdmissionQueue<Call> queue = new AdmissionQueue<>(clock, 128, 4 << 20);
    long sequence;
  }

  private final ManualClock clock = new ManualClock();
  private final Random random = new Random(SEED);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::atMs).thenComparing(Event::order));
  private final Map<String, SimulatedEngine> engines = new HashMap<>();
  private final Set<String> dark = new java.util.HashSet<>();
  private final List<Entry> entries = new ArrayList<>();
  final Map<Kind, Tally> tallies = new HashMap<>();
  private final Setting setting;
  private long order;

  private AdmissionSimulation(Setting setting) {
    this.setting = setting;
    BackendServer[] servers = new BackendServer[setting.engines()];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = RelayFixture.server("s" + i, 1);
      engines.put("s" + i, new SimulatedEngine(clock, this::at, tallies));
      if (i < setting.dark()) {
        dark.add("s" + i);
      }
    }
    for (int i = 0; i < setting.entries(); i++) {
      Entry e = new Entry();
      e.fixture.load(1, Map.of(), servers);
      e.fixture.state.updateEntryCount(setting.entries());
      e.fixture.loads.setChangeListener(
          urgent -> at(urgent ? ANNOUNCE_MS : DELAYED_MS, () -> report(e, true)));
      entries.add(e);
    }
  }

  /** Plays a setting; returns the results of each kind. */
  static Map<Kind, Tally> play(Setting setting, Kind... kinds) {
    AdmissionSimulation s = new AdmissionSimulation(setting);
    for (Kind k : kinds) {
      s.tallies.put(k, new Tally());
      s.at(1, () -> s.arrive(k));
    }
    s.at(0, s::answerPolls);
    s.at(REPORT_MS, s::reportAll);
    s.entries.forEach(e -> s.at(s.random.nextInt((int) PUMP_MS), () -> s.pump(e)));
    long endMs = s.clock.nowMs() + LENGTH_MS;
    while (s.events.element().atMs() < endMs) {
      Event e = s.events.remove();
      s.clock.advance(Math.max(0, e.atMs() - s.clock.nowMs()));
      e.action().run();
    }
    return s.tallies;
  }

  private void at(long inMs, Runnable action) {
    events.add(new Event(clock.nowMs() + inMs, order++, action));
  }

  private void arrive(Kind k) {
    Entry e = entries.get(random.nextInt(entries.size()));
    requireNonNull(tallies.get(k)).asked++;
    Call c = new Call(k, e, clock.nowMs(), order);
    if (!setting.replaced()) {
      e.admission.recordArrival(applicant(c));
    }
    if (setting.replaced()) {
      decideAsBefore(c);
    } else if (e.queue.hasAhead(position(c)) || decide(c) != AdmissionQueue.Attempt.SETTLED) {
      e.queue.offer(c, position(c)).ifPresent(x -> requireNonNull(tallies.get(x.kind)).refused++);
    }
    double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / k.perSecond();
    at(Math.max(1, Math.round(gapMs)), () -> arrive(k));
  }

  private void pump(Entry e) {
    e.queue.startAll(this::decide);
    at(PUMP_MS, () -> pump(e));
  }

  private Applicant applicant(Call c) {
    long elapsed = clock.nowMs() - c.startMs;
    return new Applicant(
        c.route,
        RelayFixture.GROUP,
        c.kind.rank(),
        c.kind.organisation(),
        c.prompt,
        elapsed,
        c.route.timeoutMs() - elapsed,
        false,
        c.waiting);
  }

  private AdmissionQueue.Position position(Call c) {
    return new AdmissionQueue.Position(
        RelayFixture.GROUP,
        c.kind.rank(),
        c.kind.organisation(),
        c.startMs + c.kind.objectiveMs(),
        c.startMs + c.route.timeoutMs(),
        9_000,
        PromptAdmission.isSmall(c.prompt, group(c.entry.fixture.state.get())));
  }

  private AdmissionQueue.Attempt decide(Call c) {
    FleetState s = c.entry.fixture.state.get();
    Verdict v =
        c.entry.admission.decide(applicant(c), s, group(s), s.available(RelayFixture.GROUP));
    if (v.plan() != null) {
      start(c, v.plan());
    } else if (v.refusal() != null) {
      requireNonNull(tallies.get(c.kind)).refused++;
    }
    c.waiting = true;
    return v.attempt();
  }

  private void decideAsBefore(Call c) {
    FleetState s = c.entry.fixture.state.get();
    PromptPlan plan =
        c.entry
            .placement
            .choose(c.prompt, null, s, group(s), s.available(RelayFixture.GROUP))
            .orElseThrow();
    if (LoadShedder.decide(c.route, 0, c.route.timeoutMs(), plan.estimateMs()).isPresent()) {
      requireNonNull(tallies.get(c.kind)).refused++;
    } else {
      start(c, plan);
    }
  }

  private ServerGroup group(FleetState s) {
    ServerGroup g = requireNonNull(requireNonNull(s.desired()).groups().get(RelayFixture.GROUP));
    return setting.memoryUnknown()
        ? new ServerGroup(
            g.name(),
            g.maxConnections(),
            g.coldRequestsPerSecond(),
            new ServerGroup.EngineConfig(128, 0, 35_000, 740_000, 12, true))
        : g;
  }

  private void start(Call c, PromptPlan plan) {
    ServerLoad load = c.entry.fixture.loads.of(plan.server());
    load.recordStart(plan.work());
    if (!dark.contains(plan.server().id())) {
      requireNonNull(engines.get(plan.server().id()))
          .add(new SimulatedEngine.Job(c.kind, c.startMs, plan.work(), load));
    }
  }

  private void answerPolls() {
    for (Entry e : entries) {
      for (String id : engines.keySet()) {
        if (!dark.contains(id)) {
          e.fixture.directory.contents(id + ":80").recordResponse(clock.nowMs());
        }
      }
    }
    at(200, this::answerPolls);
  }

  private void reportAll() {
    entries.forEach(e -> report(e, false));
    at(REPORT_MS, this::reportAll);
  }

  private void report(Entry from, boolean partial) {
    Map<String, PeerLoads.Load> loads =
        partial ? from.fixture.loads.takeChanges() : from.fixture.loads.snapshot();
    if (partial && loads.isEmpty()) {
      return;
    }
    String vm = "e" + entries.indexOf(from);
    Report r = new Report(vm, 1, ++from.sequence, loads, partial);
    for (Entry to : entries) {
      if (to != from && random.nextDouble() >= setting.lostReports()) {
        to.fixture.peers.accept(r);
      }
    }
  }
}

package org.cowslipyoke.stream;

import static org.cowslipyoke.stream.StreamEntry.ROUTE_MS;
import static org.cowslipyoke.stream.StreamEntry.SERVICE;
import static org.cowslipyoke.stream.StreamEntry.TAKE_UP_MS;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeStreamTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.BackendServer;
import org.jspecify.annotations.Nullable;

/** Entries, servers of three versions and callers with streams on one simulated clock. */
final class StreamFleet {

  private static final int TICK_MS = 100;
  private static final int MAX_ATTEMPTS = 3;
  private static final List<String> VERSIONS = List.of("v1", "v2", "v3");

  /** Time after an entry is in touch again until its take-ups count, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  /** What happens to the fleet. */
  enum Event {
    JOIN,
    LEAVE,
    SWAP,
    FREEZE,
    CUT,
    KILL,
    KILL_ALL,
    OUTAGE,
    RETURN,
    LOSE_ANSWER,
    DELAY_WRITE
  }

  /** A machine and the process that runs on it. */
  private static final class Machine {
    StreamEntry entry;
    long frozenUntilMs;
    long cutUntilMs;
    long inTouchMs;

    Machine(StreamEntry entry) {
      this.entry = entry;
    }
  }

  /** A caller's stream, from its request to the end of its take-ups. */
  private static final class Stream {
    final String request;
    final long startMs;
    @Nullable StreamEntry at;
    @Nullable BackendServer server;
    StreamOrigins.@Nullable Beginning beginning;
    @Nullable CompletableFuture<Boolean> permission;
    int attempts;
    long eventMs;
    @Nullable String begun;
    boolean broken;

    Stream(String request, long startMs) {
      this.request = request;
      this.startMs = startMs;
    }
  }

  final List<String> faults = new ArrayList<>();

  /** Take-ups asked at entries in touch while the version serves, and those that went on. */
  int asked;

  int wentOn;

  /** The same within the time after a return in which nobody may know the version. */
  int askedAfterReturn;

  int wentOnAfterReturn;

  int begun;
  private final Random random;
  private final List<Event> events;
  private final ManualClock clock = new ManualClock();
  private final FakeStreamTable table = new FakeStreamTable(clock::nowMs);
  private final List<Machine> machines = new ArrayList<>();
  private final Map<String, BackendServer> servers = new HashMap<>();
  private final List<Stream> streams = new ArrayList<>();
  private final Set<StreamEntry> dead = new HashSet<>();
  private long outageUntilMs;
  private long returnedMs = Long.MIN_VALUE / 2;
  private int requests;

  StreamFleet(long seed, List<Event> events) {
    this.random = new Random(seed);
    this.events = events;
    for (int i = 3 + random.nextInt(3); i > 0; i--) {
      machines.add(new Machine(new StreamEntry(clock, table, machines.size())));
    }
    join("v1", 3);
  }

  /** Plays for a time in milliseconds. */
  void play(long ms) {
    for (long endMs = clock.nowMs() + ms; clock.nowMs() < endMs; clock.advance(TICK_MS)) {
      if (random.nextInt(40) == 0) {
        happen(events.get(random.nextInt(events.size())));
      }
      table.setOutage(clock.nowMs() < outageUntilMs);
      if (random.nextInt(50) == 0) {
        table.copy();
      }
      if (random.nextInt(3) == 0) {
        streams.add(new Stream("r" + requests++, clock.nowMs()));
      }
      if (random.nextBoolean()) {
        // A process that was frozen may pass on what its connections hold before it reads anything.
        streams.forEach(this::advance);
        machines.forEach(this::run);
      } else {
        machines.forEach(this::run);
        streams.forEach(this::advance);
      }
      streams.removeIf(s -> clock.nowMs() >= s.startMs + 2 * ROUTE_MS);
    }
  }

  private long between(int minMs, int maxMs) {
    return clock.nowMs() + minMs + random.nextInt(maxMs - minMs);
  }

  private Machine anyMachine() {
    return machines.get(random.nextInt(machines.size()));
  }

  private void happen(Event e) {
    String version = VERSIONS.get(random.nextInt(VERSIONS.size()));
    switch (e) {
      case JOIN -> join(version, 1 + random.nextInt(4));
      case LEAVE -> {
        if (servers.values().stream().anyMatch(s -> !s.software().equals(version))) {
          servers.values().removeIf(s -> s.software().equals(version));
        }
      }
      case SWAP -> {
        servers.clear();
        join(version, 3);
      }
      case FREEZE -> anyMachine().frozenUntilMs = between(200, 30_000);
      case CUT -> anyMachine().cutUntilMs = between(200, 60_000);
      case KILL -> kill(anyMachine());
      case KILL_ALL -> machines.forEach(this::kill);
      case OUTAGE -> outageUntilMs = between(50, 8_000);
      case RETURN -> {
        outageUntilMs = between(1, 1_000);
        returnedMs = clock.nowMs();
        table.returnFromCopy(random.nextInt(60_000) - 30_000);
      }
      case LOSE_ANSWER -> table.loseAnswer();
      default -> table.delayWrite(1_000 + random.nextInt(5_000));
    }
  }

  private void join(String version, int count) {
    StreamEntry.servers(version, count).forEach(s -> servers.put(s.id(), s));
  }

  private void kill(Machine m) {
    dead.add(m.entry);
    m.entry = new StreamEntry(clock, table, m.entry.rank);
    m.frozenUntilMs = between(500, 2_000);
  }

  private boolean isFrozen(Machine m) {
    return clock.nowMs() < m.frozenUntilMs;
  }

  private void run(Machine m) {
    boolean cut = clock.nowMs() < m.cutUntilMs;
    m.entry.client.setReachable(!cut);
    if (isFrozen(m) || !m.entry.client.isReachable()) {
      m.inTouchMs = clock.nowMs() + CONTACT_MS;
    }
    if (isFrozen(m)) {
      return;
    }
    if (random.nextInt(10_000) == 0 && events.contains(Event.RETURN)) {
      m.entry.client.beforeNextCall(() -> happen(Event.RETURN));
    }
    if (m.entry.run(servers)) {
      machines.stream()
          .filter(o -> o != m && !isFrozen(o) && random.nextInt(4) != 0)
          .forEach(o -> o.entry.hear(m.entry));
    }
  }

  private @Nullable Machine machineOf(@Nullable StreamEntry e) {
    return machines.stream().filter(m -> m.entry == e).findFirst().orElse(null);
  }

  private void advance(Stream s) {
    Machine m = machineOf(s.at);
    if (m != null && isFrozen(m)) {
      return;
    }
    boolean lost = dead.contains(s.at) || (s.server != null && !servers.containsKey(s.server.id()));
    if (s.begun != null) {
      s.broken |= lost || random.nextInt(25) == 0;
      if (s.broken && random.nextInt(5) == 0) {
        takeUp(s, s.begun);
      }
      return;
    }
    if (clock.nowMs() >= s.startMs + ROUTE_MS || dead.contains(s.at)) {
      return;
    }
    if (s.beginning == null || lost) {
      attempt(s);
    } else if (s.permission == null && clock.nowMs() >= s.eventMs) {
      s.permission = s.beginning.firstEvent();
    }
    if (s.permission != null && s.permission.isDone()) {
      if (s.permission.join()) {
        s.begun = Objects.requireNonNull(s.server).software();
        begun++;
      } else {
        s.beginning = null;
      }
    }
  }

  private void attempt(Stream s) {
    if (s.at == null) {
      Machine m = anyMachine();
      if (isFrozen(m)) {
        return;
      }
      s.at = m.entry;
    }
    List<BackendServer> fit = s.at.ledger.permitted(SERVICE, s.at.state.available(SERVICE));
    if (s.attempts >= MAX_ATTEMPTS || fit.isEmpty()) {
      return;
    }
    s.server = fit.get(random.nextInt(fit.size()));
    s.beginning = s.at.ledger.begin(SERVICE, s.request, ++s.attempts, s.server.software(), false);
    s.permission = null;
    s.eventMs = between(0, random.nextInt(10) == 0 ? 4_000 : 300);
  }

  private void takeUp(Stream s, String version) {
    Machine m = anyMachine();
    if (isFrozen(m)) {
      return;
    }
    Either<Failure, String> found = m.entry.ledger.find(SERVICE, s.request).join();
    List<BackendServer> fit =
        m.entry.state.available(SERVICE).stream()
            .filter(b -> found.isRight() && b.software().equals(found.get()))
            .filter(b -> servers.containsKey(b.id()))
            .toList();
    boolean serves = servers.values().stream().anyMatch(b -> b.software().equals(version));
    if (serves && clock.nowMs() >= m.inTouchMs && m.entry.client.isReachable()) {
      boolean afterReturn = clock.nowMs() - returnedMs < 15_000 + TAKE_UP_MS;
      asked += afterReturn ? 0 : 1;
      wentOn += afterReturn || fit.isEmpty() ? 0 : 1;
      askedAfterReturn += afterReturn ? 1 : 0;
      wentOnAfterReturn += afterReturn && !fit.isEmpty() ? 1 : 0;
    }
    if (found.isRight() && !found.get().equals(version)) {
      faults.add(
          "%s begun at %s goes on at %s at %d"
              .formatted(s.request, version, found.get(), clock.nowMs()));
    }
    if (!fit.isEmpty()) {
      s.broken = false;
      s.at = m.entry;
      s.server = fit.get(random.nextInt(fit.size()));
    }
  }
}

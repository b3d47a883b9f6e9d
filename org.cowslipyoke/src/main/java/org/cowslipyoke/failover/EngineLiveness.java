package org.cowslipyoke.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CacheDirectory;
import org.cowslipyoke.relay.CandidateFilter;
import org.cowslipyoke.relay.DesiredState;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.ServerGroup;
import org.cowslipyoke.util.Clock;

/**
 * Decides whether an engine has fallen silent, as one that lost power or its network. An engine
 * whose streams to this entry are all silent for longer than the routes' pause targets and its own
 * pace suggest is probed on new connections; it is taken for lost if no probe is answered while
 * another engine answers one that was sent later. A process that has just started, or that gets too
 * little processor time, is slow with the answers of all. A slow engine answers probes, so its
 * streams are left alone. One with a long queue may take no new connections, but answers the event
 * readers of some entry. Uses no I/O; thread-safe.
 */
public final class EngineLiveness implements AttemptObserver, CandidateFilter {

  /** Interval at which {@link #tick} must be called, in milliseconds. */
  public static final long TICK_MS = 10;

  /** Number of unanswered probes of a lost engine; a link that loses packets rarely takes two. */
  static final int PROBES = 2;

  /** Time between the probes of a silent engine, in milliseconds; above a usual round trip. */
  static final long PROBE_INTERVAL_MS = 20;

  /** Minimum time that the first and the last probe are unanswered, in milliseconds. */
  static final long FIRST_UNANSWERED_MS = 50;

  static final long LAST_UNANSWERED_MS = 25;

  /** Interval at which a lost engine is probed again, in milliseconds. */
  static final long AGAIN_MS = 1_000;

  /** Time for which the report of another entry counts, in milliseconds. */
  static final long PEER_REPORT_MS = 600;

  /** Fraction of a group above which the cause is taken to be this entry or its network. */
  static final double MAX_LOST_FRACTION = 0.5;

  /** Time between ticks above which this process was stopped meanwhile, in milliseconds. */
  static final long MAX_TICK_MS = 60;

  /** Probes per second of all entries together and the burst of one, as each is priced. */
  static final double PROBES_PER_S = 80;

  static final double PROBE_BURST = 24;

  /**
   * Probes kept for engines that have not answered one or that another entry has found lost, and
   * for control engines.
   */
  static final double RESERVED_PROBES = 14;

  /** Time after which an engine without attempts is forgotten, in milliseconds. */
  static final long FORGET_MS = 5_000;

  /**
   * What to do now.
   *
   * @param probes servers to probe
   * @param lost servers that were found lost since the last call
   */
  public record Actions(List<BackendServer> probes, List<BackendServer> lost) {}

  private final Clock clock;
  private final Supplier<FleetState> state;
  private final CacheDirectory directory;
  private final Map<String, EngineWatch> engines = new HashMap<>();
  private double probeTokens = PROBE_BURST;
  private long tickMs;
  private long pausedMs;

  /** Time at which the last probe of a control engine was sent. */
  private long controlMs = Long.MIN_VALUE / 2;

  /** Creates the decision of an entry. */
  public EngineLiveness(Clock clock, Supplier<FleetState> state, CacheDirectory directory) {
    this.clock = clock;
    this.state = state;
    this.directory = directory;
    this.tickMs = clock.nowMs();
    this.pausedMs = tickMs - FIRST_UNANSWERED_MS;
  }

  @Override
  public synchronized void started(Attempt a) {
    if (isWatched(a)) {
      watch(a.server()).started(a);
    }
  }

  /**
   * Returns whether a lost engine would matter to an attempt: engines that copy no runs are left to
   * their event readers, and cost no probes.
   */
  private boolean isWatched(Attempt a) {
    DesiredState d = state.get().desired();
    ServerGroup g = d == null ? null : d.groups().get(a.service());
    return a.plan() != null && (g == null || g.engine() == null || g.engine().backups());
  }

  @Override
  public synchronized void contentReceived(Attempt a, long nowMs, boolean first) {
    if (isWatched(a)) {
      watch(a.server()).content(a, nowMs);
    }
  }

  @Override
  public synchronized void ended(Attempt a, Ended e) {
    EngineWatch w = engines.get(a.server().incarnation());
    if (w != null) {
      w.ended(a);
    }
  }

  /** Records that a server answered a probe, or refused or reset its connection. */
  public synchronized void probeAnswered(BackendServer server) {
    watch(server).probeAnswered(clock.nowMs());
  }

  /**
   * Records that another entry has found an engine lost. New requests avoid it, and its streams at
   * this entry are probed at once.
   */
  public synchronized void peerFoundLost(String incarnation) {
    EngineWatch w = engines.get(incarnation);
    if (w == null) {
      w =
          state.get().servers().values().stream()
              .filter(s -> s.incarnation().equals(incarnation))
              .findAny()
              .map(this::watch)
              .orElse(null);
    }
    if (w != null && clock.nowMs() - w.heardMs > LAST_UNANSWERED_MS) {
      w.peerLostMs = clock.nowMs();
    }
  }

  /** Returns whether an engine is taken for lost by this entry. */
  public synchronized boolean isLost(BackendServer server) {
    EngineWatch w = engines.get(server.incarnation());
    return w != null && w.lost;
  }

  /** Returns whether new requests and copies should avoid an engine. */
  public synchronized boolean isAvoided(BackendServer server) {
    EngineWatch w = engines.get(server.incarnation());
    long now = clock.nowMs();
    return w != null
        && (w.lost
            || (w.probes > 0 && now - w.firstProbeMs >= LAST_UNANSWERED_MS)
            || isPeerReported(w, now));
  }

  @Override
  public Remaining filter(Placed request, FleetState fleet, List<BackendServer> candidates) {
    List<BackendServer> rest = candidates.stream().filter(s -> !isAvoided(s)).toList();
    return new Remaining(rest.isEmpty() ? candidates : rest, 0);
  }

  /** Returns the incarnations of the engines that this entry has found lost. */
  public synchronized List<String> lostEngines() {
    return engines.values().stream()
        .filter(w -> w.lost)
        .map(w -> w.server.incarnation())
        .sorted()
        .toList();
  }

  /** Returns the probes that are due and the engines that are now lost. */
  public synchronized Actions tick() {
    long now = clock.nowMs();
    double earned = Math.max(0, now - tickMs) * PROBES_PER_S / 1_000 / state.get().entries();
    probeTokens = Math.min(PROBE_BURST, probeTokens + earned);
    if (now - tickMs > MAX_TICK_MS) {
      resumed(now);
    }
    tickMs = now;
    engines.values().removeIf(w -> w.isIdle() && !w.lost && now - w.heardMs > FORGET_MS);
    removeListedNoLonger();
    List<BackendServer> probes = new ArrayList<>();
    List<EngineWatch> silent = new ArrayList<>();
    List<EngineWatch> suspects = new ArrayList<>();
    for (EngineWatch w : engines.values()) {
      hearReader(w, now);
      if (isSilent(w, now)) {
        silent.add(w);
      }
      if (isProbeDue(w, now)) {
        probe(w, now, w.probes > 0 || isPeerReported(w, now), probes);
        if (w.probes == PROBES || isPeerReported(w, now)) {
          suspects.add(w);
        }
      }
    }
    suspects.forEach(w -> probeControl(w, now, probes));
    List<BackendServer> lost = new ArrayList<>();
    for (EngineWatch w : silent) {
      if (isConnectionSound(w, silent)) {
        w.lost = true;
        w.lostMs = now;
        lost.add(w.server);
      } else {
        probeControl(w, now, probes);
      }
    }
    return new Actions(probes, lost);
  }

  private EngineWatch watch(BackendServer s) {
    return engines.computeIfAbsent(
        s.incarnation(), k -> new EngineWatch(s, clock.nowMs() - FORGET_MS / 2));
  }

  private static boolean isPeerReported(EngineWatch w, long now) {
    return w.peerLostMs >= 0 && now - w.peerLostMs <= PEER_REPORT_MS;
  }

  /** Starts the measurements anew, because answers may lie unread in this process. */
  private void resumed(long now) {
    pausedMs = now;
    for (EngineWatch w : engines.values()) {
      w.probes = 0;
    }
  }

  private void removeListedNoLonger() {
    Map<String, BackendServer> listed = state.get().servers();
    engines
        .values()
        .removeIf(
            w -> {
              BackendServer s = listed.get(w.server.id());
              boolean current = s != null && s.incarnation().equals(w.server.incarnation());
              return !current && w.isIdle();
            });
  }

  /**
   * Counts an answer to an event reader since the last tick as a sign of life. Entries share what
   * they read, so this includes what the others hear.
   */
  private void hearReader(EngineWatch w, long now) {
    String address = w.server.address();
    // Looked up only if present: a view that is created here would count as a silent engine.
    boolean read = directory.hasAnswered(address);
    w.readerAnswered(read ? now - directory.contents(address).sinceAnswerMs(now) : 0, now);
  }

  private boolean isProbeDue(EngineWatch w, long now) {
    if (w.lost) {
      return now - w.lastProbeMs >= AGAIN_MS;
    }
    if (w.probes > 0) {
      return w.probes < PROBES && now - w.lastProbeMs >= PROBE_INTERVAL_MS;
    }
    return w.isQuiet(now) || (!w.isIdle() && isPeerReported(w, now));
  }

  /** Probes an engine, unless its probe is not urgent and the others need what is left. */
  private void probe(EngineWatch w, long now, boolean urgent, List<BackendServer> probes) {
    if (probeTokens < (urgent ? 1 : 1 + RESERVED_PROBES)) {
      return;
    }
    probeTokens--;
    if (w.probes == 0) {
      w.firstProbeMs = now;
    }
    w.probes++;
    w.lastProbeMs = now;
    probes.add(w.server);
  }

  /**
   * Returns whether an engine has left enough probes unanswered. Those of an entry that has found
   * it lost count, so one further probe on this entry's own path is enough, if its streams at this
   * entry are silent too.
   */
  private boolean isSilent(EngineWatch w, long now) {
    boolean found = isPeerReported(w, now) && w.isQuiet(now);
    boolean unanswered =
        found
            ? w.probes >= 1 && now - w.firstProbeMs >= LAST_UNANSWERED_MS
            : w.probes >= PROBES
                && now - w.firstProbeMs >= FIRST_UNANSWERED_MS
                && now - w.lastProbeMs >= LAST_UNANSWERED_MS;
    return !w.lost && unanswered && now - pausedMs >= FIRST_UNANSWERED_MS;
  }

  private boolean isConnectionSound(EngineWatch w, List<EngineWatch> silent) {
    String group = w.server.group();
    long bad = silent.stream().filter(x -> x.server.group().equals(group)).count();
    bad += engines.values().stream().filter(x -> x.lost && x.server.group().equals(group)).count();
    return isControlAnswered(w)
        && bad <= Math.max(1, MAX_LOST_FRACTION * state.get().available(group).size());
  }

  /** Returns whether another engine has answered a probe that was sent later. */
  private boolean isControlAnswered(EngineWatch w) {
    return engines.values().stream()
        .anyMatch(x -> x != w && !x.lost && x.answeredProbeMs >= w.firstProbeMs);
  }

  /** Probes another engine, unless one has answered or a probe is under way. */
  private void probeControl(EngineWatch w, long now, List<BackendServer> probes) {
    boolean underWay = controlMs >= w.firstProbeMs && now - controlMs < FIRST_UNANSWERED_MS;
    if (!underWay && !isControlAnswered(w)) {
      controlMs = now;
      control(w).ifPresent(c -> probe(c, now, true, probes));
    }
  }

  /** Returns another engine whose answer would show that the connection of this entry is sound. */
  private Optional<EngineWatch> control(EngineWatch w) {
    return state.get().available(w.server.group()).stream()
        .filter(s -> !isAvoided(s) && !s.incarnation().equals(w.server.incarnation()))
        .map(this::watch)
        .filter(c -> c.probes == 0)
        .max(Comparator.comparingLong(c -> c.heardMs));
  }
}

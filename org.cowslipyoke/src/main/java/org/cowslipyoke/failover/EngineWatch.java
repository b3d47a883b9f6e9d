package org.cowslipyoke.failover;

import java.util.IdentityHashMap;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.BackendServer;

/** What an entry has heard of one incarnation of an engine; guarded by {@link EngineLiveness}. */
final class EngineWatch {

  /** Fraction of the pause target after which a silent stream is suspicious. */
  static final double QUIET_FRACTION = 0.3;

  /** Largest such fraction, for engines whose events are usually that far apart. */
  static final double MAX_QUIET_FRACTION = 0.6;

  /** Number of mean deviations over the usual time between events that is not suspicious. */
  static final double PACE_DEVIATIONS = 2;

  /** Pause target assumed for routes without one, in milliseconds. */
  static final long DEFAULT_GAP_MS = 500;

  /**
   * Minimum silence of an engine that has not begun to answer, in milliseconds; also at least twice
   * the expected time.
   */
  static final long MIN_FIRST_EVENT_MS = 150;

  static final double FIRST_EVENT_FACTOR = 2;

  /** Weight of the newest pause between events in the moving average. */
  private static final double PACE_WEIGHT = 0.1;

  private static final class Stream {
    private final long startMs;
    private final long gapMs;
    private final double expectedMs;
    private long contentMs = -1;

    private Stream(Attempt a) {
      this.startMs = a.startMs();
      this.gapMs = a.route().gapMs() > 0 ? a.route().gapMs() : DEFAULT_GAP_MS;
      this.expectedMs = a.plan() == null ? 0 : a.plan().estimateMs();
    }
  }

  final BackendServer server;
  private final IdentityHashMap<Attempt, Stream> streams = new IdentityHashMap<>();
  private double paceMs;
  private double deviationMs;

  /** Time of the last sign of life. */
  long heardMs;

  /** Time at which the last answer to an event reader was asked for; -1 if not looked up yet. */
  private long readerMs = -1;

  /** Number of probes that were sent since then. */
  int probes;

  long firstProbeMs;
  long lastProbeMs;

  /** Time at which the newest probe that was answered was sent; -1 if none was. */
  long answeredProbeMs = -1;

  /** Whether the engine is taken for lost, and since when. */
  boolean lost;

  long lostMs;

  /** Time at which another entry last reported the engine as lost; -1 if none did. */
  long peerLostMs = -1;

  EngineWatch(BackendServer server, long nowMs) {
    this.server = server;
    this.heardMs = nowMs;
  }

  void started(Attempt a) {
    streams.put(a, new Stream(a));
  }

  void ended(Attempt a) {
    streams.remove(a);
  }

  void content(Attempt a, long nowMs) {
    Stream s = streams.get(a);
    if (s != null) {
      if (s.contentMs >= 0) {
        recordGap(nowMs - s.contentMs);
      }
      s.contentMs = nowMs;
    }
    heard(nowMs);
  }

  /** Records a sign of life other than content, which shows that the engine is slow now. */
  void probeAnswered(long nowMs) {
    answeredProbeMs = lastProbeMs;
    if (probes > 0 && !lost && paceMs > 0) {
      recordGap(Math.min(DEFAULT_GAP_MS, nowMs - heardMs));
    }
    heard(nowMs);
  }

  /**
   * Records an answer to an event reader.
   *
   * @param askedMs time at which it was asked for; an answer to an earlier question does not show
   *     that a lost engine is back, since another entry may have passed it on late
   */
  void readerAnswered(long askedMs, long nowMs) {
    if (readerMs >= 0 && askedMs > readerMs && (!lost || askedMs > lostMs)) {
      heard(nowMs);
    }
    readerMs = Math.max(0, askedMs);
  }

  private void recordGap(long gapMs) {
    if (paceMs == 0) {
      paceMs = gapMs;
    } else {
      deviationMs += PACE_WEIGHT * (Math.abs(gapMs - paceMs) - deviationMs);
      paceMs += PACE_WEIGHT * (gapMs - paceMs);
    }
  }

  void heard(long nowMs) {
    heardMs = Math.max(heardMs, nowMs);
    probes = 0;
    lost = false;
    peerLostMs = -1;
  }

  boolean isIdle() {
    return streams.isEmpty();
  }

  /** Returns whether the engine has been silent for longer than its streams allow. */
  boolean isQuiet(long nowMs) {
    for (Stream s : streams.values()) {
      long sinceMs = nowMs - Math.max(heardMs, s.startMs);
      if (sinceMs >= (s.contentMs >= 0 ? quietMs(s) : firstEventMs(s))) {
        return true;
      }
    }
    return false;
  }

  private double quietMs(Stream s) {
    double bound = Math.max(QUIET_FRACTION * s.gapMs, paceMs + PACE_DEVIATIONS * deviationMs);
    return Math.min(bound, MAX_QUIET_FRACTION * s.gapMs);
  }

  private static double firstEventMs(Stream s) {
    return Math.max(MIN_FIRST_EVENT_MS, FIRST_EVENT_FACTOR * s.expectedMs);
  }
}

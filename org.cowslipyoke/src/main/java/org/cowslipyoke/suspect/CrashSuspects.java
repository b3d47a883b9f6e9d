package org.cowslipyoke.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.suspect.Suspect.Crash;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Digests;
import org.jspecify.annotations.Nullable;

/**
 * Detects requests that crash every server that runs them, based on lost connections, and
 * determines how long they are held back. Processes exchange their observations as {@link
 * SuspectReport}.
 *
 * <p>A request is held back after {@link #MIN_CRASHES} consecutive runs that each ended with the
 * loss of a different server. A crash or a request is exonerated in three cases: any run of the
 * request returns a complete response; the server is observed alive later, so only the connection
 * was lost; the crash was shared with a request that has more crashes. Thread-safe; no call waits
 * for I/O.
 */
public final class CrashSuspects {

  /** Crashes after which a request is held back. */
  public static final int MIN_CRASHES = 3;

  /**
   * Maximum number of requests stored. Those with the oldest last crash that are not held back are
   * evicted first.
   */
  public static final int MAX_REQUESTS = SuspectList.MAX_ENTRIES;

  /** Time for which crashes are retained after the last crash or the end of the hold, in ms. */
  static final long CRASH_RETENTION_MS = 600_000;

  /**
   * Time for which a request is held back after the third crash, in milliseconds. After that it may
   * run once more, so that a request that was held back by mistake is served again.
   */
  static final long FIRST_HOLD_MS = 60_000;

  /** Factor by which each further crash lengthens the hold. */
  static final int HOLD_GROWTH = 10;

  /** Longest hold in milliseconds. */
  static final long MAX_HOLD_MS = SuspectList.TTL_MS;

  /**
   * Time for which an exonerated request can't become a suspect again, in milliseconds. Prevents
   * reports of processes that were partitioned in the meantime from restoring old crashes.
   */
  static final long CLEARANCE_RETENTION_MS = 60_000;

  /** Time for which a crash or a clearance is reported to other processes, in milliseconds. */
  static final long ANNOUNCE_MS = 3_000;

  /** Interval of reports when nothing has changed, in milliseconds. */
  static final long REPORT_INTERVAL_MS = 1_000;

  /** Time after a crash in which liveness of its server is reported to other processes, in ms. */
  static final long LIVENESS_REPORT_MS = 10_000;

  /**
   * Maximum time for which bytes are buffered between a server and this process, in milliseconds.
   * Bytes that are read later than this after the loss of a connection were sent after the loss.
   */
  static final long MAX_RECEIVE_DELAY_MS = 300;

  /** Maximum delivery time of a report in milliseconds, by which a reported age is too small. */
  static final long MAX_REPORT_DELAY_MS = 200;

  /** Upper bound of the encoded size of a report in bytes; PeerReportExchange sends 16,384. */
  static final int MAX_REPORT_BYTES = 12_000;

  private static final int RUN_BYTES = 24;
  private static final int MAX_CLEARED_IN_REPORT = 200;

  /**
   * State of a request.
   *
   * @param crashes crashes attributed to the request
   * @param holdMs remaining time in milliseconds for which it is held back, 0 if it may run
   */
  public record Verdict(int crashes, long holdMs) {

    static final Verdict CLEAR = new Verdict(0, 0);

    /** Returns whether the request must not run now. */
    public boolean isHeld() {
      return holdMs > 0;
    }
  }

  private record Cleared(long sinceMs, long announceUntilMs) {}

  private final Clock clock;
  private final Map<Long, Suspect> suspects = new LinkedHashMap<>();
  private final Map<Long, Cleared> cleared = new LinkedHashMap<>();
  private final ServerLiveness liveness = new ServerLiveness();
  private final PartSuspects parts;
  private boolean hasUnreportedChanges;
  private long lastReportMs;
  private volatile boolean empty = true;

  /** Creates an instance without suspects. */
  public CrashSuspects(Clock clock) {
    this.clock = clock;
    this.parts = new PartSuspects(clock, liveness);
    this.lastReportMs = clock.nowMs();
  }

  /** Returns the prompt parts that are suspected to crash servers. */
  public PartSuspects parts() {
    return parts;
  }

  /** Returns the fingerprint of a request; the organisation is null on an open route. */
  public static long fingerprint(
      @Nullable String organisation, String method, String host, String target, byte[] body) {
    byte[] digest =
        Digests.sha256(
            (organisation == null ? "" : organisation).getBytes(StandardCharsets.UTF_8),
            method.getBytes(StandardCharsets.UTF_8),
            host.getBytes(StandardCharsets.UTF_8),
            target.getBytes(StandardCharsets.UTF_8),
            body);
    return ByteBuffer.wrap(digest).getLong();
  }

  /** Returns whether there is no suspect, so that fingerprints are not needed. */
  public boolean isEmpty() {
    return empty;
  }

  /** Records that a run ended with the connection to its server. */
  public synchronized Verdict recordCrash(long fingerprint, String incarnation, long startMs) {
    if (!isCleared(fingerprint)) {
      hasUnreportedChanges |=
          add(fingerprint, new Crash(incarnation, startMs, clock.nowMs(), true));
    }
    return verdict(fingerprint);
  }

  /** Records a complete response to a request; returns the crashes attributed to it until then. */
  public synchronized int completed(long fingerprint) {
    Suspect s = suspects.get(fingerprint);
    if (s == null) {
      return 0;
    }
    int crashes = countAttributed(s);
    markCleared(fingerprint, clock.nowMs() + ANNOUNCE_MS);
    hasUnreportedChanges = true;
    return crashes;
  }

  /** Records that a server responded to a request that was sent to it at {@code startMs}. */
  public void recordResponse(String incarnation, long startMs) {
    if (empty && parts.isEmpty()) {
      return;
    }
    liveness.recordAlive(incarnation, startMs);
  }

  /** Records that a part of a response was received from a server. */
  public void recordContent(String incarnation) {
    recordResponse(incarnation, clock.nowMs() - MAX_RECEIVE_DELAY_MS);
  }

  /** Returns the current state of a request. */
  public Verdict verdict(long fingerprint) {
    if (empty) {
      return Verdict.CLEAR;
    }
    synchronized (this) {
      Suspect s = suspects.get(fingerprint);
      if (s == null) {
        return Verdict.CLEAR;
      }
      int n = countAttributed(s);
      return new Verdict(n, Math.max(0, s.lastMs() + holdMs(n) - clock.nowMs()));
    }
  }

  /** Returns the report to send to the other processes now, if one is due. */
  public synchronized Optional<SuspectReport> nextReport() {
    long now = clock.nowMs();
    if (empty || (!hasUnreportedChanges && now - lastReportMs < REPORT_INTERVAL_MS)) {
      return Optional.empty();
    }
    hasUnreportedChanges = false;
    lastReportMs = now;
    removeExpired(now);
    Map<String, List<CrashedRun>> crashes = new HashMap<>();
    int bytes = 0;
    for (Map.Entry<Long, Suspect> e : suspectsToReport(now)) {
      for (Crash c : e.getValue().unrefutedCrashes(liveness)) {
        bytes += crashes.containsKey(c.incarnation()) ? RUN_BYTES : encodedBytes(c.incarnation());
        if (bytes <= MAX_REPORT_BYTES) {
          crashes
              .computeIfAbsent(c.incarnation(), k -> new ArrayList<>())
              .add(new CrashedRun(e.getKey(), now - c.atMs(), c.atMs() - c.startMs()));
        }
      }
    }
    Map<String, Long> alive = aliveAges(now, MAX_REPORT_BYTES - bytes);
    List<Long> clear =
        cleared.entrySet().stream()
            .filter(e -> now < e.getValue().announceUntilMs())
            .map(Map.Entry::getKey)
            .limit(MAX_CLEARED_IN_REPORT)
            .toList();
    return crashes.isEmpty() && clear.isEmpty() && alive.isEmpty()
        ? Optional.empty()
        : Optional.of(new SuspectReport(crashes, clear, alive));
  }

  /** Returns the ages in milliseconds of the observations of liveness that refute crashes. */
  private Map<String, Long> aliveAges(long now, int maxBytes) {
    Map<String, Long> ages = new HashMap<>();
    int bytes = 0;
    for (Suspect s : suspects.values()) {
      for (Crash c : s.refutedCrashes(liveness)) {
        Long at = liveness.lastAliveMs(c.incarnation());
        if (at != null
            && now - c.atMs() <= LIVENESS_REPORT_MS
            && !ages.containsKey(c.incarnation())) {
          bytes += encodedBytes(c.incarnation());
          if (bytes <= maxBytes) {
            ages.put(c.incarnation(), now - at);
          }
        }
      }
    }
    return ages;
  }

  private static int encodedBytes(String incarnation) {
    return RUN_BYTES + 3 * incarnation.length();
  }

  /** Merges the report of another process. */
  public synchronized void accept(SuspectReport r) {
    long now = clock.nowMs();
    r.cleared().stream().filter(f -> !isCleared(f)).forEach(f -> markCleared(f, now));
    if (!empty) {
      r.aliveAgesMs()
          .forEach((i, ageMs) -> liveness.recordAlive(i, now - ageMs - MAX_REPORT_DELAY_MS));
    }
    r.crashes()
        .forEach(
            (incarnation, runs) -> {
              for (CrashedRun run : runs) {
                long atMs = now - run.ageMs();
                if (isCleared(run.fingerprint())) {
                  announceClearanceAgain(run.fingerprint(), now);
                } else if (run.ageMs() <= MAX_HOLD_MS + CRASH_RETENTION_MS) {
                  add(run.fingerprint(), new Crash(incarnation, atMs - run.ranMs(), atMs, false));
                }
              }
            });
  }

  /** Repeats a clearance that the sender missed, for example because it was partitioned. */
  private void announceClearanceAgain(long fingerprint, long now) {
    Cleared c = cleared.get(fingerprint);
    if (c != null && now >= c.announceUntilMs()) {
      cleared.put(fingerprint, new Cleared(c.sinceMs(), now + REPORT_INTERVAL_MS));
      hasUnreportedChanges = true;
    }
  }

  private boolean isCleared(long fingerprint) {
    Cleared c = cleared.get(fingerprint);
    return c != null && clock.nowMs() - c.sinceMs() <= CLEARANCE_RETENTION_MS;
  }

  private void markCleared(long fingerprint, long announceUntilMs) {
    suspects.remove(fingerprint);
    if (cleared.size() >= MAX_REQUESTS) {
      cleared.remove(cleared.keySet().iterator().next());
    }
    cleared.remove(fingerprint);
    cleared.put(fingerprint, new Cleared(clock.nowMs(), announceUntilMs));
    empty = false;
  }

  private boolean add(long fingerprint, Crash c) {
    liveness.recordLost(c.incarnation(), c.atMs());
    Suspect s = suspects.get(fingerprint);
    if (s == null) {
      if (suspects.size() >= MAX_REQUESTS) {
        evictOne();
      }
      s = new Suspect(c.atMs());
      suspects.put(fingerprint, s);
      empty = false;
    }
    return s.add(c);
  }

  private void evictOne() {
    removeExpired(clock.nowMs());
    if (suspects.size() < MAX_REQUESTS) {
      return;
    }
    suspects.entrySet().stream()
        .min(
            Comparator.<Map.Entry<Long, Suspect>>comparingInt(
                    e -> countSequential(e.getValue()) >= MIN_CRASHES ? 1 : 0)
                .thenComparingLong(e -> e.getValue().lastMs()))
        .map(Map.Entry::getKey)
        .ifPresent(suspects::remove);
  }

  private void removeExpired(long now) {
    suspects
        .values()
        .removeIf(s -> now - s.lastMs() > CRASH_RETENTION_MS + holdMs(countSequential(s)));
    cleared.values().removeIf(c -> now - c.sinceMs() > CLEARANCE_RETENTION_MS);
    if (suspects.isEmpty() && parts.isEmpty()) {
      liveness.clear();
    }
    empty = suspects.isEmpty() && cleared.isEmpty();
  }

  /** Returns the suspects to report, most crashes first, then newest first. */
  private List<Map.Entry<Long, Suspect>> suspectsToReport(long now) {
    return suspects.entrySet().stream()
        .filter(
            e ->
                e.getValue().unrefutedCrashes(liveness).size() > 1
                    || e.getValue().unrefutedCrashes(liveness).stream()
                        .anyMatch(c -> c.observedLocally() && now - c.atMs() <= ANNOUNCE_MS))
        .sorted(
            Comparator.<Map.Entry<Long, Suspect>>comparingInt(
                    e -> -e.getValue().unrefutedCrashes(liveness).size())
                .thenComparingLong(e -> -e.getValue().lastMs()))
        .toList();
  }

  private int countSequential(Suspect s) {
    return Suspect.countSequential(s.unrefutedCrashes(liveness));
  }

  /**
   * Returns the number of crashes attributed to a suspect: those not explained by a suspect with
   * more crashes or by prompt parts that are held back.
   */
  private int countAttributed(Suspect s) {
    List<Crash> own = s.unrefutedCrashes(liveness);
    int n = Suspect.countSequential(own);
    if (n < MIN_CRASHES) {
      return n;
    }
    List<Crash> remaining = new ArrayList<>(own);
    remaining.removeIf(c -> parts.explains(c.incarnation()));
    for (Suspect other : suspects.values()) {
      List<Crash> more = other == s ? List.of() : other.unrefutedCrashes(liveness);
      if (more.size() > own.size() && Suspect.countSequential(more) >= MIN_CRASHES) {
        remaining.removeIf(
            c -> more.stream().anyMatch(m -> m.incarnation().equals(c.incarnation())));
      }
    }
    return Suspect.countSequential(remaining);
  }

  static long holdMs(int crashes) {
    if (crashes < MIN_CRASHES) {
      return 0;
    }
    double hold = FIRST_HOLD_MS * Math.pow(HOLD_GROWTH, crashes - MIN_CRASHES);
    return Math.round(Math.min(MAX_HOLD_MS, hold));
  }
}

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
 * Finds requests that crash each server that runs them, from connections that were lost, and says
 * for how long they are held back. Processes exchange what they saw as {@link SuspectReport}.
 *
 * <p>A request is held back after {@link #MIN_CRASHES} runs, one after the other, that ended with
 * the loss of different servers. Three findings exonerate it: it is answered whole anywhere; the
 * server gives a sign of life later, so only the connection was lost; the crash was shared with a
 * request that more crashes speak against. Thread-safe, no call waits for I/O.
 */
public final class CrashSuspects {

  /** Crashes after which a request is held back. */
  public static final int MIN_CRASHES = 3;

  /** Requests remembered; those with the oldest crash that are not held back are dropped first. */
  public static final int MAX_REQUESTS = SuspectList.MAX_ENTRIES;

  /** Time after the last crash, or after the hold, for which crashes are remembered, in ms. */
  static final long MEMORY_MS = 600_000;

  /**
   * Time for which a request is held back after the third crash, in milliseconds. It may run once
   * more then, so that a request that was held back wrongly is served again.
   */
  static final long FIRST_HOLD_MS = 60_000;

  /** Factor by which each further crash prolongs the hold. */
  static final int HOLD_GROWTH = 10;

  /** Longest hold in milliseconds. */
  static final long MAX_HOLD_MS = SuspectList.TTL_MS;

  /**
   * Time for which an exonerated request can't become a suspect again, in milliseconds; reports of
   * processes that were cut off meanwhile must not bring old crashes back.
   */
  static final long CLEARED_MS = 60_000;

  /** Time for which a crash or a clearance is told to the others, in milliseconds. */
  static final long ANNOUNCE_MS = 3_000;

  /** Interval of reports without news, in milliseconds. */
  static final long ROUND_MS = 1_000;

  /** Time after a crash in which a sign of life of its server is told to the others, in ms. */
  static final long REFUTE_MS = 10_000;

  /**
   * Time for which bytes may wait between a server and this process, in milliseconds: bytes that
   * are read later than this after the loss of a connection were sent after it.
   */
  static final long CONTENT_DELAY_MS = 300;

  /** Time that a report may take, in milliseconds, by which a reported age is too small. */
  static final long REPORT_DELAY_MS = 200;

  /** Encoded size of a report, estimated from above, in bytes; PeerReportExchange sends 16,384. */
  static final int MAX_REPORT_BYTES = 12_000;

  private static final int RUN_BYTES = 24;
  private static final int MAX_CLEARED_IN_REPORT = 200;
  private static final int MAX_SERVERS = 4_096;

  /**
   * How a request stands.
   *
   * @param crashes crashes that count against it
   * @param holdMs time for which it is still held back, 0 if it may run
   */
  public record Verdict(int crashes, long holdMs) {

    static final Verdict CLEAR = new Verdict(0, 0);

    /** Returns whether the request must not run. */
    public boolean isHeld() {
      return holdMs > 0;
    }
  }

  private record Cleared(long sinceMs, long announceUntilMs) {}

  private final Clock clock;
  private final Map<Long, Suspect> suspects = new LinkedHashMap<>();
  private final Map<Long, Cleared> cleared = new LinkedHashMap<>();
  private final Map<String, Long> aliveMs = new LinkedHashMap<>();
  private boolean news;
  private long lastReportMs;
  private volatile boolean none = true;

  /** Creates an empty record. */
  public CrashSuspects(Clock clock) {
    this.clock = clock;
    this.lastReportMs = clock.nowMs();
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
    return none;
  }

  /** Records that a run ended with the connection to its server. */
  public synchronized Verdict recordCrash(long fingerprint, String incarnation, long startMs) {
    if (!isCleared(fingerprint)) {
      news |= add(fingerprint, new Crash(incarnation, startMs, clock.nowMs(), true));
    }
    return verdict(fingerprint);
  }

  /** Records a whole answer to a request; returns the crashes that counted against it. */
  public synchronized int completed(long fingerprint) {
    Suspect s = suspects.get(fingerprint);
    if (s == null) {
      return 0;
    }
    int crashes = count(s);
    clear(fingerprint, clock.nowMs() + ANNOUNCE_MS);
    news = true;
    return crashes;
  }

  /** Records that a server answered a request that was sent to it at a time. */
  public void recordResponse(String incarnation, long startMs) {
    if (none) {
      return;
    }
    synchronized (this) {
      alive(incarnation, startMs);
    }
  }

  /** Records that a part of an answer came from a server. */
  public void receivedFrom(String incarnation) {
    recordResponse(incarnation, clock.nowMs() - CONTENT_DELAY_MS);
  }

  private void alive(String incarnation, long atMs) {
    if (aliveMs.size() >= MAX_SERVERS && !aliveMs.containsKey(incarnation)) {
      aliveMs.remove(aliveMs.keySet().iterator().next());
    }
    aliveMs.merge(incarnation, atMs, Math::max);
  }

  /** Returns how a request stands. */
  public Verdict verdict(long fingerprint) {
    if (none) {
      return Verdict.CLEAR;
    }
    synchronized (this) {
      Suspect s = suspects.get(fingerprint);
      if (s == null) {
        return Verdict.CLEAR;
      }
      int n = count(s);
      return new Verdict(n, Math.max(0, s.lastMs() + holdMs(n) - clock.nowMs()));
    }
  }

  /** Returns what is to be told to the others now, if anything. */
  public synchronized Optional<SuspectReport> nextReport() {
    long now = clock.nowMs();
    if (none || (!news && now - lastReportMs < ROUND_MS)) {
      return Optional.empty();
    }
    news = false;
    lastReportMs = now;
    dropOld(now);
    Map<String, List<CrashedRun>> crashes = new HashMap<>();
    int bytes = 0;
    for (Map.Entry<Long, Suspect> e : told(now)) {
      for (Crash c : e.getValue().crashes(aliveMs)) {
        bytes += crashes.containsKey(c.incarnation()) ? RUN_BYTES : bytes(c.incarnation());
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

  /** Returns the ages of the signs of life that refute crashes. */
  private Map<String, Long> aliveAges(long now, int maxBytes) {
    Map<String, Long> ages = new HashMap<>();
    int bytes = 0;
    for (Suspect s : suspects.values()) {
      for (Crash c : s.refuted(aliveMs)) {
        Long at = aliveMs.get(c.incarnation());
        if (at != null && now - c.atMs() <= REFUTE_MS && !ages.containsKey(c.incarnation())) {
          bytes += bytes(c.incarnation());
          if (bytes <= maxBytes) {
            ages.put(c.incarnation(), now - at);
          }
        }
      }
    }
    return ages;
  }

  private static int bytes(String incarnation) {
    return RUN_BYTES + 3 * incarnation.length();
  }

  /** Takes the report of another process. */
  public synchronized void accept(SuspectReport r) {
    long now = clock.nowMs();
    r.cleared().stream().filter(f -> !isCleared(f)).forEach(f -> clear(f, now));
    if (!none) {
      r.aliveAgesMs().forEach((i, ageMs) -> alive(i, now - ageMs - REPORT_DELAY_MS));
    }
    r.crashes()
        .forEach(
            (incarnation, runs) -> {
              for (CrashedRun run : runs) {
                long atMs = now - run.ageMs();
                if (isCleared(run.fingerprint())) {
                  announceAgain(run.fingerprint(), now);
                } else if (run.ageMs() <= MAX_HOLD_MS + MEMORY_MS) {
                  add(run.fingerprint(), new Crash(incarnation, atMs - run.ranMs(), atMs, false));
                }
              }
            });
  }

  /** The sender missed the clearance, for example because it was cut off. */
  private void announceAgain(long fingerprint, long now) {
    Cleared c = cleared.get(fingerprint);
    if (c != null && now >= c.announceUntilMs()) {
      cleared.put(fingerprint, new Cleared(c.sinceMs(), now + ROUND_MS));
      news = true;
    }
  }

  private boolean isCleared(long fingerprint) {
    Cleared c = cleared.get(fingerprint);
    return c != null && clock.nowMs() - c.sinceMs() <= CLEARED_MS;
  }

  private void clear(long fingerprint, long announceUntilMs) {
    suspects.remove(fingerprint);
    if (cleared.size() >= MAX_REQUESTS) {
      cleared.remove(cleared.keySet().iterator().next());
    }
    cleared.remove(fingerprint);
    cleared.put(fingerprint, new Cleared(clock.nowMs(), announceUntilMs));
    none = false;
  }

  private boolean add(long fingerprint, Crash c) {
    Suspect s = suspects.get(fingerprint);
    if (s == null) {
      if (suspects.size() >= MAX_REQUESTS) {
        dropOne();
      }
      s = new Suspect(c.atMs());
      suspects.put(fingerprint, s);
      none = false;
    }
    return s.add(c);
  }

  private void dropOne() {
    dropOld(clock.nowMs());
    if (suspects.size() < MAX_REQUESTS) {
      return;
    }
    suspects.entrySet().stream()
        .min(
            Comparator.<Map.Entry<Long, Suspect>>comparingInt(
                    e -> inSequence(e.getValue()) >= MIN_CRASHES ? 1 : 0)
                .thenComparingLong(e -> e.getValue().lastMs()))
        .map(Map.Entry::getKey)
        .ifPresent(suspects::remove);
  }

  private void dropOld(long now) {
    suspects.values().removeIf(s -> now - s.lastMs() > MEMORY_MS + holdMs(inSequence(s)));
    cleared.values().removeIf(c -> now - c.sinceMs() > CLEARED_MS);
    if (suspects.isEmpty()) {
      aliveMs.clear();
    }
    none = suspects.isEmpty() && cleared.isEmpty();
  }

  /** Returns the suspects to tell, those with the most crashes first, then the newest. */
  private List<Map.Entry<Long, Suspect>> told(long now) {
    return suspects.entrySet().stream()
        .filter(
            e ->
                e.getValue().crashes(aliveMs).size() > 1
                    || e.getValue().crashes(aliveMs).stream()
                        .anyMatch(c -> c.own() && now - c.atMs() <= ANNOUNCE_MS))
        .sorted(
            Comparator.<Map.Entry<Long, Suspect>>comparingInt(
                    e -> -e.getValue().crashes(aliveMs).size())
                .thenComparingLong(e -> -e.getValue().lastMs()))
        .toList();
  }

  private int inSequence(Suspect s) {
    return Suspect.inSequence(s.crashes(aliveMs));
  }

  /** Returns the crashes that count against a suspect. */
  private int count(Suspect s) {
    List<Crash> own = s.crashes(aliveMs);
    int n = Suspect.inSequence(own);
    if (n < MIN_CRASHES) {
      return n;
    }
    List<Crash> left = new ArrayList<>(own);
    for (Suspect other : suspects.values()) {
      List<Crash> more = other == s ? List.of() : other.crashes(aliveMs);
      if (more.size() > own.size() && Suspect.inSequence(more) >= MIN_CRASHES) {
        left.removeIf(c -> more.stream().anyMatch(m -> m.incarnation().equals(c.incarnation())));
      }
    }
    return Suspect.inSequence(left);
  }

  private static long holdMs(int crashes) {
    if (crashes < MIN_CRASHES) {
      return 0;
    }
    double hold = FIRST_HOLD_MS * Math.pow(HOLD_GROWTH, crashes - MIN_CRASHES);
    return Math.round(Math.min(MAX_HOLD_MS, hold));
  }
}

package org.cowslipyoke.suspect;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cowslipyoke.suspect.Suspect.Crash;
import org.cowslipyoke.suspect.SuspectReport.CrashedRun;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Digests;

/**
 * Detects parts of prompts that crash every server that begins to answer a prompt with them,
 * whatever else the request contains. Such requests differ in all else, so {@link CrashSuspects}
 * does not recognise them.
 *
 * <p>A run counts against all shared parts of its prompt if its server was lost before the response
 * began. When a response to a prompt with a part begins, the runs that started before no longer
 * count against that part. Of parts that were at the same crashes, all together are held back: a
 * prompt is refused only if it has all of them, so prompts that share some are served, which shows
 * that those parts are sound. Thread-safe; no call waits for I/O.
 */
public final class PartSuspects {

  /** Crashes at which a part was present after which prompts with it are held back. */
  public static final int MIN_CRASHES = CrashSuspects.MIN_CRASHES;

  /**
   * Time within which servers that fail together are observed to fail, in milliseconds. Crashes
   * further apart are independent.
   */
  static final long SIMULTANEOUS_MS = 250;

  /**
   * Independent crashes required for a part to which responses have begun before. Of a popular
   * part, several prompts may wait at servers that fail together.
   */
  static final int MIN_INDEPENDENT_CRASHES = 2;

  /** Maximum number of suspected parts; those with the oldest last crash are evicted first. */
  static final int MAX_PARTS = 1_000;

  /** Maximum number of parts for which the last begun response is stored. */
  static final int MAX_BEGUN = 8_192;

  /** Maximum number of parts with begun responses in one report. */
  private static final int MAX_BEGUN_IN_REPORT = 200;

  /** Upper bound of the encoded size of a crashed run in bytes. */
  private static final int RUN_BYTES = 24;

  /**
   * Parts that no prompt may contain together.
   *
   * @param parts fingerprints
   * @param crashes number of crashes at which they were present
   * @param untilMs end of the hold on the process's monotonic clock, in milliseconds
   */
  public record Hold(Set<Long> parts, int crashes, long untilMs) {}

  /**
   * A part that could have caused crashes.
   *
   * @param crashKey equal for parts that were at the same crashes
   */
  private record Candidate(
      long part, List<Crash> crashes, String crashKey, long lastMs, boolean begunBefore) {}

  private final Clock clock;
  private final ServerLiveness liveness;
  private final Map<Long, PartEvidence> suspects = new LinkedHashMap<>();
  private final Cache<Long, Long> lastBegunMs =
      Caffeine.newBuilder().maximumSize(MAX_BEGUN).executor(Runnable::run).build();
  private volatile List<Hold> holds = List.of();
  private volatile boolean empty = true;
  private volatile Consumer<List<Hold>> onChange = h -> {};
  private boolean hasUnreportedChanges;
  private long lastReportMs;
  private long lastPeriodicMs;

  /**
   * Creates an instance without suspects.
   *
   * @param liveness observations of servers, shared with the owner
   */
  PartSuspects(Clock clock, ServerLiveness liveness) {
    this.clock = clock;
    this.liveness = liveness;
    this.lastReportMs = clock.nowMs();
    this.lastPeriodicMs = lastReportMs;
  }

  /** Returns the fingerprint of a part. */
  public static long fingerprint(String partId) {
    return Digests.sha256Prefix(partId.getBytes(StandardCharsets.UTF_8));
  }

  /** Sets the listener to changes of the holds; it must not block. */
  public void setListener(Consumer<List<Hold>> listener) {
    onChange = listener;
  }

  /** Returns whether no part is suspected. */
  boolean isEmpty() {
    return empty;
  }

  /** Returns whether no part is held back, so that fingerprints are not needed. */
  public boolean hasNoHold() {
    return holds.isEmpty();
  }

  /** Returns the longest hold in force that applies to a prompt with the given shared parts. */
  public Optional<Hold> holdOf(Collection<Long> parts) {
    long now = clock.nowMs();
    return holds.stream()
        .filter(h -> h.untilMs() > now && parts.containsAll(h.parts()))
        .max(Comparator.comparingLong(Hold::untilMs));
  }

  /** Returns whether a crash is explained by parts that are held back. */
  boolean explains(String incarnation) {
    if (holds.isEmpty()) {
      return false;
    }
    synchronized (this) {
      return heldParts().stream()
          .map(suspects::get)
          .anyMatch(e -> e != null && e.hasCrashOf(incarnation));
    }
  }

  /** Records that a server was lost before the response to a prompt with these parts began. */
  public synchronized void recordLoss(Collection<Long> parts, String incarnation, long startMs) {
    liveness.recordLost(incarnation, clock.nowMs());
    for (long part : parts) {
      hasUnreportedChanges |= add(part, new Crash(incarnation, startMs, clock.nowMs(), true));
    }
    update();
  }

  /** Records that the response to a prompt with these parts has begun. */
  public void recordBegun(Collection<Long> parts) {
    long now = clock.nowMs();
    for (long part : parts) {
      lastBegunMs.put(part, now);
    }
    if (empty) {
      return;
    }
    synchronized (this) {
      boolean suspected = false;
      for (long part : parts) {
        PartEvidence e = suspects.get(part);
        if (e != null) {
          suspected = true;
          // Other processes need to know at once only what prevents or ends a hold.
          hasUnreportedChanges |= e.markBegun(now) && e.size() >= MIN_CRASHES - 1;
        }
      }
      if (suspected) {
        update();
      }
    }
  }

  /**
   * Returns the report to send to the other processes now, if one is due: changes at once, and
   * periodically what changed recently and what is held back, for lost reports and for processes
   * that start. Must be called periodically, because it also applies observations of servers that
   * are alive.
   */
  public synchronized Optional<PartReport> nextReport() {
    if (empty) {
      return Optional.empty();
    }
    update();
    long now = clock.nowMs();
    boolean periodic = now - lastPeriodicMs >= CrashSuspects.REPORT_INTERVAL_MS;
    if (!periodic && !hasUnreportedChanges) {
      return Optional.empty();
    }
    final PartReport r =
        report(periodic ? now - CrashSuspects.ANNOUNCE_MS : lastReportMs, periodic);
    hasUnreportedChanges = false;
    lastReportMs = now;
    if (periodic) {
      lastPeriodicMs = now;
      removeExpired(now);
    }
    return r.crashes().isEmpty() && r.begunAgesMs().isEmpty() ? Optional.empty() : Optional.of(r);
  }

  private PartReport report(long sinceMs, boolean withHolds) {
    long now = clock.nowMs();
    Set<Long> held = withHolds ? heldParts() : Set.of();
    Map<Long, Long> begun = new HashMap<>();
    Map<String, List<CrashedRun>> crashes = new HashMap<>();
    int bytes = 0;
    for (Map.Entry<Long, PartEvidence> e : heldThenNewest(held)) {
      long part = e.getKey();
      PartEvidence evidence = e.getValue();
      if (evidence.size() >= MIN_CRASHES - 1
          && evidence.markedBegunMs() >= sinceMs
          && begun.size() < MAX_BEGUN_IN_REPORT) {
        begun.put(part, now - evidence.markedBegunMs());
      }
      List<Crash> reported =
          held.contains(part) ? counted(part, evidence) : evidence.observedSince(sinceMs);
      for (Crash c : reported) {
        bytes += RUN_BYTES + (crashes.containsKey(c.incarnation()) ? 0 : c.incarnation().length());
        if (bytes <= CrashSuspects.MAX_REPORT_BYTES) {
          crashes
              .computeIfAbsent(c.incarnation(), k -> new ArrayList<>())
              .add(new CrashedRun(part, now - c.atMs(), c.atMs() - c.startMs()));
        }
      }
    }
    return new PartReport(crashes, begun);
  }

  /** Merges the report of another process. */
  public synchronized void accept(PartReport r) {
    long now = clock.nowMs();
    r.begunAgesMs().forEach((part, ageMs) -> recordBegunAt(part, now - ageMs));
    r.crashes()
        .forEach(
            (incarnation, runs) -> {
              for (CrashedRun run : runs) {
                long atMs = now - run.ageMs();
                Crash c = new Crash(incarnation, atMs - run.ranMs(), atMs, false);
                if (run.ageMs() <= CrashSuspects.CRASH_RETENTION_MS) {
                  liveness.recordLost(incarnation, atMs);
                  add(run.fingerprint(), c);
                }
              }
            });
    update();
  }

  private void recordBegunAt(long part, long atMs) {
    lastBegunMs.asMap().merge(part, atMs, Math::max);
  }

  private boolean add(long part, Crash c) {
    PartEvidence e = suspects.get(part);
    if (e == null) {
      if (suspects.size() >= MAX_PARTS) {
        evictOne();
      }
      e = new PartEvidence();
      suspects.put(part, e);
      empty = false;
    }
    return e.add(c);
  }

  private void evictOne() {
    removeExpired(clock.nowMs());
    if (suspects.size() < MAX_PARTS) {
      return;
    }
    Set<Long> held = heldParts();
    suspects.entrySet().stream()
        .min(
            Comparator.<Map.Entry<Long, PartEvidence>>comparingInt(
                    e -> held.contains(e.getKey()) ? 1 : 0)
                .thenComparingLong(e -> e.getValue().lastMs()))
        .map(Map.Entry::getKey)
        .ifPresent(suspects::remove);
  }

  private void removeExpired(long now) {
    suspects
        .entrySet()
        .removeIf(
            e -> {
              int n = counted(e.getKey(), e.getValue()).size();
              long keepMs =
                  n == 0
                      ? CrashSuspects.ANNOUNCE_MS
                      : CrashSuspects.CRASH_RETENTION_MS + CrashSuspects.holdMs(n);
              return now - e.getValue().lastMs() > keepMs;
            });
    empty = suspects.isEmpty();
  }

  private Set<Long> heldParts() {
    return holds.stream().flatMap(h -> h.parts().stream()).collect(Collectors.toUnmodifiableSet());
  }

  private List<Map.Entry<Long, PartEvidence>> heldThenNewest(Set<Long> held) {
    return suspects.entrySet().stream()
        .sorted(
            Comparator.<Map.Entry<Long, PartEvidence>>comparingInt(
                    e -> held.contains(e.getKey()) ? 0 : 1)
                .thenComparingLong(e -> -e.getValue().lastMs()))
        .toList();
  }

  private List<Crash> counted(long part, PartEvidence e) {
    Long begunMs = lastBegunMs.getIfPresent(part);
    return e.counted(begunMs == null ? Long.MIN_VALUE : begunMs, liveness);
  }

  /** Derives the holds from what is known now. */
  private synchronized void update() {
    List<Hold> next = new ArrayList<>();
    Set<String> explained = new HashSet<>();
    String keyOfLast = "";
    for (Candidate c : candidates()) {
      if (!next.isEmpty() && c.crashKey().equals(keyOfLast)) {
        next.add(withPart(next.remove(next.size() - 1), c.part()));
        continue;
      }
      long unexplained =
          c.crashes().stream().filter(x -> !explained.contains(x.incarnation())).count();
      if (unexplained >= MIN_CRASHES) {
        int n = c.crashes().size();
        next.add(new Hold(Set.of(c.part()), n, c.lastMs() + CrashSuspects.holdMs(n)));
        c.crashes().forEach(x -> explained.add(x.incarnation()));
        keyOfLast = c.crashKey();
      }
    }
    if (!next.equals(holds)) {
      holds = List.copyOf(next);
      onChange.accept(holds);
    }
  }

  private static Hold withPart(Hold h, long part) {
    Set<Long> parts = new HashSet<>(h.parts());
    parts.add(part);
    return new Hold(Set.copyOf(parts), h.crashes(), h.untilMs());
  }

  /**
   * Returns the parts that could have caused crashes: those without begun responses first, then
   * those with the most crashes. Parts at the same crashes follow each other.
   */
  private List<Candidate> candidates() {
    List<Candidate> all = new ArrayList<>();
    suspects.forEach(
        (part, e) -> {
          if (e.size() >= MIN_CRASHES) {
            List<Crash> counted = counted(part, e);
            boolean begun = lastBegunMs.getIfPresent(part) != null;
            if (counted.size() >= MIN_CRASHES
                && (!begun || countIndependent(counted) >= MIN_INDEPENDENT_CRASHES)) {
              all.add(candidate(part, counted, begun));
            }
          }
        });
    all.sort(
        Comparator.comparing(Candidate::begunBefore)
            .thenComparingInt(c -> -c.crashes().size())
            .thenComparing(Candidate::crashKey));
    return all;
  }

  private static Candidate candidate(long part, List<Crash> counted, boolean begun) {
    return new Candidate(
        part,
        counted,
        counted.stream().map(Crash::incarnation).sorted().collect(Collectors.joining(" ")),
        counted.stream().mapToLong(Crash::atMs).max().orElse(0),
        begun);
  }

  /** Returns the largest number of crashes that are not simultaneous. */
  private static int countIndependent(List<Crash> crashes) {
    List<Long> times = crashes.stream().map(Crash::atMs).sorted().toList();
    int n = 0;
    long lastMs = Long.MIN_VALUE;
    for (long at : times) {
      if (n == 0 || at - lastMs > SIMULTANEOUS_MS) {
        n++;
        lastMs = at;
      }
    }
    return n;
  }
}

package org.cowslipyoke.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.suspect.Suspect.Crash;

/** The crashes that ended runs of prompts with one part. Not thread-safe. */
final class PartEvidence {

  /** Maximum number of crashes stored for one part; the oldest is evicted first. */
  static final int MAX_STORED_CRASHES = 16;

  private final Map<String, Crash> byIncarnation = new HashMap<>();
  private long markedBegunMs = Long.MIN_VALUE;

  /** Adds a run that a crash ended; returns whether it is the first one at this incarnation. */
  boolean add(Crash c) {
    Crash before = byIncarnation.get(c.incarnation());
    if (before != null) {
      byIncarnation.put(c.incarnation(), merge(before, c));
      return false;
    }
    byIncarnation.put(c.incarnation(), c);
    if (byIncarnation.size() > MAX_STORED_CRASHES) {
      byIncarnation.values().stream()
          .min(Comparator.comparingLong(Crash::atMs))
          .ifPresent(old -> byIncarnation.remove(old.incarnation()));
    }
    return true;
  }

  /**
   * Merges two runs at one incarnation: the first observation of the loss, and the latest start
   * before it. A run that started after the loss did not cause it.
   */
  private static Crash merge(Crash a, Crash b) {
    boolean isFirst = a.atMs() <= b.atMs();
    Crash first = isFirst ? a : b;
    Crash other = isFirst ? b : a;
    long startMs =
        other.startMs() <= first.atMs()
            ? Math.max(first.startMs(), other.startMs())
            : first.startMs();
    return new Crash(
        first.incarnation(),
        startMs,
        first.atMs(),
        first.observedLocally() || other.observedLocally());
  }

  /**
   * Records that a response to a prompt with the part has begun; returns whether runs counted
   * against the part until then.
   */
  boolean markBegun(long nowMs) {
    boolean counted = byIncarnation.values().stream().anyMatch(c -> c.startMs() >= markedBegunMs);
    markedBegunMs = nowMs;
    return counted;
  }

  /** Returns the time at which a response was last recorded as begun. */
  long markedBegunMs() {
    return markedBegunMs;
  }

  /** Returns the crashes that this process observed at or after the given time. */
  List<Crash> observedSince(long sinceMs) {
    return byIncarnation.values().stream()
        .filter(c -> c.observedLocally() && c.atMs() >= sinceMs)
        .toList();
  }

  /** Returns whether the part was present at a crash. */
  boolean hasCrashOf(String incarnation) {
    return byIncarnation.containsKey(incarnation);
  }

  /** Returns the number of stored crashes. */
  int size() {
    return byIncarnation.size();
  }

  /** Returns the time of the last crash. */
  long lastMs() {
    return byIncarnation.values().stream().mapToLong(Crash::atMs).max().orElse(Long.MIN_VALUE);
  }

  /**
   * Returns the crashes that count against the part: the run started after the last response to a
   * prompt with the part began, and the server was not observed alive after the loss.
   */
  List<Crash> counted(long lastBegunMs, ServerLiveness liveness) {
    List<Crash> counted = new ArrayList<>(byIncarnation.values());
    counted.removeIf(
        c -> c.startMs() < lastBegunMs || liveness.isRefuted(c.incarnation(), c.atMs()));
    return counted;
  }
}

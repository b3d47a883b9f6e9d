package org.cowslipyoke.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The crashes that ended runs of one request. Not thread-safe. */
final class Suspect {

  /** Maximum number of crashes stored for one request; the oldest is evicted first. */
  static final int MAX_STORED_CRASHES = 8;

  /**
   * Time by which two runs may overlap and still count as consecutive, in milliseconds. The age of
   * a reported crash is too small by the delivery time of the report.
   */
  static final long OVERLAP_SLACK_MS = 20;

  /**
   * A run that ended with the connection to its server.
   *
   * @param observedLocally whether this process observed the loss of the connection
   */
  record Crash(String incarnation, long startMs, long atMs, boolean observedLocally) {}

  private final Map<String, Crash> byIncarnation = new HashMap<>();
  private long lastMs;

  Suspect(long nowMs) {
    this.lastMs = nowMs;
  }

  /** Adds a crash; returns false if a crash of this incarnation is already stored. */
  boolean add(Crash c) {
    if (byIncarnation.putIfAbsent(c.incarnation(), c) != null) {
      return false;
    }
    lastMs = Math.max(lastMs, c.atMs());
    if (byIncarnation.size() > MAX_STORED_CRASHES) {
      byIncarnation.values().stream()
          .min(Comparator.comparingLong(Crash::atMs))
          .ifPresent(old -> byIncarnation.remove(old.incarnation()));
    }
    return true;
  }

  /** Returns the time of the last crash. */
  long lastMs() {
    return lastMs;
  }

  /** Returns the crashes of servers that were not observed alive later. */
  List<Crash> unrefutedCrashes(ServerLiveness liveness) {
    List<Crash> all = new ArrayList<>(byIncarnation.values());
    all.removeIf(c -> liveness.isRefuted(c.incarnation(), c.atMs()));
    return all;
  }

  /** Returns the crashes of servers that were observed alive later. */
  List<Crash> refutedCrashes(ServerLiveness liveness) {
    List<Crash> all = new ArrayList<>(byIncarnation.values());
    all.removeIf(c -> !liveness.isRefuted(c.incarnation(), c.atMs()));
    return all;
  }

  /**
   * Returns the largest number of crashes whose runs were consecutive. Copies of a request that run
   * concurrently when several servers fail together count as one observation.
   */
  static int countSequential(Collection<Crash> crashes) {
    List<Crash> sorted = new ArrayList<>(crashes);
    sorted.sort(Comparator.comparingLong(Crash::atMs));
    int n = 0;
    long endMs = Long.MIN_VALUE;
    for (Crash c : sorted) {
      if (n == 0 || c.startMs() >= endMs - OVERLAP_SLACK_MS) {
        n++;
        endMs = c.atMs();
      }
    }
    return n;
  }
}

package org.cowslipyoke.daemon.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs of this server by identity. A run stays for {@link #KEEP_MS} after it lost its stream, so
 * that any entry can continue it. Thread-safe.
 */
final class RunRegistry {

  /** Time for which a run without a stream is kept, in milliseconds. */
  static final long KEEP_MS = 30_000;

  /** Runs that are held at most; beyond it the runs that have ended are forgotten. */
  private static final int MAX_RUNS = 4_096;

  private final Map<RunKey, Run> runs = new ConcurrentHashMap<>();

  /** Adds a run; one with the same identity that has ended without an answer is replaced. */
  void add(Run run) {
    runs.put(run.key(), run);
  }

  Optional<Run> find(RunKey key) {
    return Optional.ofNullable(runs.get(key));
  }

  /** Returns the latest attempt of a request; its organisation and digest must be the same. */
  Optional<Run> find(String organisation, String requestId, String digest) {
    return runs.values().stream()
        .filter(r -> r.start().requestId().equals(requestId))
        .filter(r -> r.start().organisation().equals(organisation))
        .filter(r -> r.start().digest().equals(digest))
        .max(Comparator.comparingInt(r -> r.start().attempt()));
  }

  void remove(Run run) {
    runs.remove(run.key(), run);
  }

  /** Returns the runs that may be in flight at an engine with this incarnation. */
  List<Run> inFlight(String incarnation) {
    return runs.values().stream().filter(r -> r.isInFlight(incarnation)).toList();
  }

  /** Returns the number of runs that have not ended or whose end was not handed to a stream. */
  int owed() {
    return (int) runs.values().stream().filter(Run::isOwed).count();
  }

  /**
   * Forgets ended runs whose time is over.
   *
   * @return runs that go on although no stream has been attached for {@link #KEEP_MS}
   */
  List<Run> expire() {
    List<Run> abandoned = new ArrayList<>();
    for (Run r : runs.values()) {
      boolean full = runs.size() > MAX_RUNS && !r.isOwed();
      if (r.isEnded() && (full || r.isAbandoned(KEEP_MS))) {
        remove(r);
      } else if (r.isAbandoned(KEEP_MS)) {
        abandoned.add(r);
      }
    }
    return abandoned;
  }
}

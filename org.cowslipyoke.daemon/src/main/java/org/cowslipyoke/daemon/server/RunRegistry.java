package org.cowslipyoke.daemon.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs of this server by identity. A run without a stream remains for {@link #RETENTION_MS}, so
 * that any entry can resume it. Thread-safe.
 */
final class RunRegistry {

  /** Time for which a run without a stream is not removed, in milliseconds. */
  static final long RETENTION_MS = 30_000;

  /** Number of runs above which ended runs are removed before their retention time. */
  private static final int MAX_RUNS = 4_096;

  private final Map<RunKey, Run> runs = new ConcurrentHashMap<>();

  /** Adds a run; replaces a run with the same identity that ended unsuccessfully. */
  void add(Run run) {
    runs.put(run.key(), run);
  }

  Optional<Run> find(RunKey key) {
    return Optional.ofNullable(runs.get(key));
  }

  /** Returns the latest attempt of a request with this organisation, id and digest. */
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

  /** Returns the number of runs that have not ended or whose outcome was not sent to a stream. */
  int undelivered() {
    return (int) runs.values().stream().filter(Run::isUndelivered).count();
  }

  /**
   * Removes ended runs whose retention time has passed.
   *
   * @return running runs that have had no stream for {@link #RETENTION_MS}
   */
  List<Run> expire() {
    List<Run> abandoned = new ArrayList<>();
    for (Run r : runs.values()) {
      boolean full = runs.size() > MAX_RUNS && !r.isUndelivered();
      if (r.isEnded() && (full || r.isAbandoned(RETENTION_MS))) {
        remove(r);
      } else if (r.isAbandoned(RETENTION_MS)) {
        abandoned.add(r);
      }
    }
    return abandoned;
  }
}

package org.cowslipyoke.suspect;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The list of suspects in force: requests, by digest, that were in flight when an engine crashed.
 *
 * <p>A suspect runs again only apart from other suspects. After {@link #MAX_CRASHES} crashes it is
 * quarantined. Versions of the list only grow.
 */
public final class SuspectList {

  /** Crashes after which a request is not run again. */
  public static final int MAX_CRASHES = 2;

  /** Maximum number of entries; the oldest is dropped first. */
  public static final int MAX_ENTRIES = 1_000;

  /** Life time of an entry in milliseconds. */
  public static final long TTL_MS = 24 * 3_600_000L;

  /** How a request with a digest is to be treated. */
  public enum Status {
    CLEAR,
    SUSPECT,
    QUARANTINED
  }

  /**
   * A suspect.
   *
   * @param crashes engine crashes that the request was in flight at
   * @param sinceWallMs wall time of the last crash
   */
  public record Entry(int crashes, long sinceWallMs) {}

  /** One version of the list, entries by digest in order of their last crash. */
  public record Snapshot(long version, Map<String, Entry> entries) {

    /** Returns the next version with one more crash of the digest. */
    public Snapshot withCrash(String digest, long wallMs) {
      Map<String, Entry> next = live(wallMs);
      Entry before = next.remove(digest);
      int crashes = before == null ? 1 : before.crashes() + 1;
      next.put(digest, new Entry(crashes, wallMs));
      if (next.size() > MAX_ENTRIES) {
        next.remove(next.keySet().iterator().next());
      }
      return new Snapshot(version + 1, Collections.unmodifiableMap(next));
    }

    /** Returns the next version without the digest. */
    public Snapshot without(String digest, long wallMs) {
      Map<String, Entry> next = live(wallMs);
      next.remove(digest);
      return new Snapshot(version + 1, Collections.unmodifiableMap(next));
    }

    private Map<String, Entry> live(long wallMs) {
      Map<String, Entry> next = new LinkedHashMap<>(entries);
      next.values().removeIf(e -> wallMs - e.sinceWallMs() > TTL_MS);
      return next;
    }
  }

  private final AtomicReference<Snapshot> current =
      new AtomicReference<>(new Snapshot(0, Map.of()));

  private final AtomicReference<Map<String, Integer>> unwritten = new AtomicReference<>(Map.of());

  /** Returns the list in force. */
  public Snapshot current() {
    return Objects.requireNonNull(current.get());
  }

  /** Puts a newer version in force; returns false if it is not newer. */
  public boolean offer(Snapshot next) {
    while (true) {
      Snapshot s = current();
      if (next.version() <= s.version()) {
        return false;
      }
      if (current.compareAndSet(s, next)) {
        return true;
      }
    }
  }

  /**
   * Replaces the crashes, by digest, that this process has seen but that no version of the list
   * holds yet. They count in {@link #status} of this process only.
   */
  public void setUnwritten(Map<String, Integer> crashes) {
    unwritten.set(Map.copyOf(crashes));
  }

  /** Returns how a request with the digest is to be treated. */
  public Status status(String digest, long wallMs) {
    Entry e = current().entries().get(digest);
    int listed = e == null || wallMs - e.sinceWallMs() > TTL_MS ? 0 : e.crashes();
    int crashes = listed + Objects.requireNonNull(unwritten.get()).getOrDefault(digest, 0);
    if (crashes == 0) {
      return Status.CLEAR;
    }
    return crashes >= MAX_CRASHES ? Status.QUARANTINED : Status.SUSPECT;
  }
}

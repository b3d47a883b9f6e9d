package org.cowslipyoke.rollout;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One entry's copy of the table of rollouts. The entries share their reads: the one with the lowest
 * rank reads, the others take from its reports that their copy is still current. Thread-safe.
 */
public final class RolloutTable {

  /** Age of the copy at which the entry with rank 0 reads, in milliseconds. */
  static final long READ_MS = 500;

  /** Additional age for each rank, in milliseconds. */
  static final long RANK_MS = 100;

  /** Highest rank that delays a read; all entries after it read at the same age. */
  static final int MAX_RANK = 8;

  /** Minimum time between two reads, in milliseconds. */
  static final long RETRY_MS = 250;

  /** Maximum age of a current copy, in milliseconds. */
  public static final long MAX_AGE_MS = 2_000;

  /** Maximum age as a fraction of the time within which a rollback must be in force. */
  private static final double ROLLBACK_FRACTION = 0.4;

  private final long maxAgeMs;
  private Map<String, RolloutState> states = Map.of();
  private long version = -1;
  private long newestHeard = -1;
  private long newestHeardMs;
  private long asOfMs;
  private long asOfTableMs = -1;
  private long readMs = Long.MIN_VALUE / 2;
  private boolean readNow;

  /**
   * Creates a copy that has not been read.
   *
   * @param rollbackMs time within which a rollback must be in force, in milliseconds
   */
  RolloutTable(long rollbackMs) {
    this.maxAgeMs = Math.min(MAX_AGE_MS, Math.round(ROLLBACK_FRACTION * rollbackMs));
  }

  /**
   * Records that this process was paused, so that its copy may be old although its monotonic clock
   * has not advanced.
   */
  public synchronized void expire() {
    asOfMs = Long.MIN_VALUE / 2;
  }

  /**
   * Applies a read of the whole table.
   *
   * @param tableVersion highest version of a row in the order of {@link
   *     org.cowslipyoke.platform.TableOrder}, that of version 0 if there is none
   * @param sentMs monotonic time at which the read was sent
   * @param sentTableMs the same by the table's clock, negative if unknown
   */
  public synchronized void update(
      Map<String, RolloutState> rows, long tableVersion, long sentMs, long sentTableMs) {
    if (tableVersion < version) {
      return;
    }
    states = Map.copyOf(rows);
    version = tableVersion;
    asOfMs = sentMs;
    asOfTableMs = sentTableMs;
  }

  /**
   * Applies another entry's statement about its copy.
   *
   * @param atMs monotonic time at which that copy was current or an earlier one; null if unknown
   */
  synchronized void hear(long otherVersion, @Nullable Long atMs, long atTableMs, long nowMs) {
    if (otherVersion > newestHeard) {
      newestHeard = otherVersion;
      newestHeardMs = nowMs;
    }
    if (otherVersion == version && atMs != null && atMs > asOfMs) {
      asOfMs = atMs;
      asOfTableMs = atTableMs;
    }
  }

  /** Records the start of a read. */
  public synchronized void recordStart(long nowMs) {
    readMs = nowMs;
    readNow = false;
  }

  /** Requires a read, for example after a write. */
  public synchronized void requireRead() {
    readNow = true;
  }

  /** Returns whether this entry has to read the table now. */
  public synchronized boolean isReadDue(long nowMs, int rank) {
    if (readNow) {
      return true;
    }
    if (nowMs - readMs < RETRY_MS) {
      return false;
    }
    long delay = READ_MS + RANK_MS * Math.min(rank, MAX_RANK);
    return version < 0 || newestHeard > version || nowMs - asOfMs >= delay;
  }

  /** Returns whether the table was read at least once. */
  public synchronized boolean isKnown() {
    return version >= 0;
  }

  /** Returns whether no newer state can be in force for long. */
  synchronized boolean isCurrent(long nowMs) {
    return version >= 0 && newestHeard <= version && nowMs - asOfMs <= maxAgeMs;
  }

  /**
   * Returns whether the copy is current or was so within {@link #READ_MS}. After the last step a
   * newer state that is about to be read is usually the success, at which the old servers stop, so
   * no request may go back to them meanwhile.
   */
  synchronized boolean isRecent(long nowMs) {
    return version >= 0
        && nowMs - asOfMs <= maxAgeMs
        && (newestHeard <= version || nowMs - newestHeardMs <= READ_MS);
  }

  /** Returns the state of a service's last rollout, null if there is none. */
  public synchronized @Nullable RolloutState state(String service) {
    return states.get(service);
  }

  /** Returns all states by service. */
  synchronized Map<String, RolloutState> states() {
    return states;
  }

  synchronized long version() {
    return version;
  }

  /** Returns the time of the table's clock at which the copy was current, negative if unknown. */
  synchronized long asOfTableMs() {
    return asOfTableMs;
  }
}

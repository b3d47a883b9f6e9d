package org.cowslipyoke.refresh;

import java.util.OptionalLong;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Schedule by which one entry refreshes its copy of a table.
 *
 * <p>All entries need fresh copies, but the store charges for each call, so the entries share their
 * reads: the first reader of the group reads at a fixed interval and sends a {@link
 * TableConfirmation} to the others. An entry that hears none, because the first reader ended or is
 * unreachable, reads when the age of its copy exceeds the interval by a delay that grows with its
 * own rank, and confirms its read in turn. The age of a copy is therefore bounded as if each entry
 * read for itself, however many readers are lost.
 *
 * <p>Only the date and a digest are passed on; content always comes from the store. Thread-safe.
 */
public final class TableRefresh {

  /**
   * Maximum time between two reads by the entry itself, in milliseconds. It bounds how long a wrong
   * confirmation by another entry can stay unnoticed.
   */
  public static final long OWN_READ_MAX_MS = 30_000;

  /**
   * Maximum delay between the readers of two consecutive ranks, in milliseconds; above the time in
   * which a read and its confirmation usually arrive.
   */
  static final long RANK_DELAY_MS = 100;

  /**
   * Intervals of a table in milliseconds.
   *
   * @param readMs age of the copy at which the first reader reads
   * @param spreadMs additional age at which the last reader reads
   * @param minMs minimum time between the starts of two reads, also after a failure or a change
   */
  public record Intervals(long readMs, long spreadMs, long minMs) {}

  /** Effect of a confirmation by another entry. */
  public enum Effect {
    /** The copy was current at the stated time. */
    CONFIRMED,
    /** The copy is outdated, or the stated time can't be compared; the table must be read now. */
    READ_REQUIRED,
    /** The confirmation is older than the copy. */
    NONE
  }

  private final Clock clock;
  private final Intervals intervals;
  private boolean known;
  private long digest;
  private long asOfMs;
  private long confirmedMs;
  private long ownReadMs;
  private long notBeforeMs;
  private boolean reading;
  private boolean readRequired = true;
  private @Nullable TableConfirmation newest;

  /** Creates the schedule of a table that has not been read. */
  public TableRefresh(Clock clock, Intervals intervals) {
    this.clock = clock;
    this.intervals = intervals;
    this.confirmedMs = clock.nowMs();
    this.ownReadMs = clock.nowMs();
    this.notBeforeMs = clock.nowMs();
  }

  /**
   * Returns the time until this entry has to read the table, in milliseconds; 0 or less if the read
   * is due.
   *
   * @param rank position of this entry in the order of readers, 0 for the first
   * @param readers number of entries that share their reads
   */
  public synchronized long dueInMs(int rank, int readers) {
    long now = clock.nowMs();
    long due = now;
    if (!readRequired) {
      long delay = readers <= 1 ? 0 : Math.min(RANK_DELAY_MS, intervals.spreadMs() / (readers - 1));
      due = Math.min(confirmedMs + intervals.readMs() + rank * delay, ownReadMs + OWN_READ_MAX_MS);
    }
    return Math.max(due, notBeforeMs) - now;
  }

  /** Records the start of a read; confirmations do not change the copy until it ends. */
  public synchronized void recordStart() {
    reading = true;
    ownReadMs = clock.nowMs();
    notBeforeMs = ownReadMs + intervals.minMs();
  }

  /**
   * Records a read.
   *
   * @param digestRead digest of the content that was read
   * @param readAsOfMs time of the store's clock at which the read was sent, in milliseconds
   * @return whether the other entries should be told; false if the read only followed a change that
   *     another entry has already confirmed to all
   */
  public synchronized boolean recordRead(long digestRead, long readAsOfMs) {
    reading = false;
    known = true;
    digest = digestRead;
    asOfMs = readAsOfMs;
    confirmedMs = ownReadMs;
    TableConfirmation c = newest;
    boolean told = c != null && c.digest() == digest;
    readRequired = c != null && !told && c.asOfMs() > asOfMs;
    newest = null;
    return !told;
  }

  /** Records that the read failed. */
  public synchronized void recordFailure() {
    reading = false;
  }

  /** Requires a read by this entry, for example after its VM was suspended. */
  public synchronized void requireRead() {
    readRequired = true;
  }

  /**
   * Applies a confirmation by another entry.
   *
   * @param localMs the time of the confirmation on this process's monotonic clock in milliseconds,
   *     or an earlier time; empty if it can't be told
   */
  public synchronized Effect accept(TableConfirmation c, OptionalLong localMs) {
    if (reading || !known) {
      remember(c);
      return Effect.NONE;
    }
    if (c.digest() != digest) {
      if (c.asOfMs() < asOfMs) {
        return Effect.NONE;
      }
      remember(c);
      readRequired = true;
      return Effect.READ_REQUIRED;
    }
    if (localMs.isEmpty()) {
      readRequired = true;
      return Effect.READ_REQUIRED;
    }
    if (localMs.getAsLong() <= confirmedMs || readRequired) {
      return Effect.NONE;
    }
    confirmedMs = localMs.getAsLong();
    asOfMs = Math.max(asOfMs, c.asOfMs());
    return Effect.CONFIRMED;
  }

  private void remember(TableConfirmation c) {
    if (newest == null || c.asOfMs() > newest.asOfMs()) {
      newest = c;
    }
  }
}

package org.cowslipyoke.relay;

/**
 * Schedule by which an entry polls a node for its cache events. The first reader of a group polls
 * and passes the events on; the others poll only if they hear nothing for a while. If there are
 * more groups than the node accepts concurrent calls, all first readers poll less often, so that
 * none is refused.
 *
 * @param waitMs time that a call waits for events at the node (long polling), in milliseconds
 * @param pauseMs pause after a response in milliseconds, so that events of several requests arrive
 *     in one response
 */
public record EventPollSchedule(int waitMs, long pauseMs) {

  /**
   * Wait time with few entries, in milliseconds; long, to make few calls while there are no events.
   */
  static final int LONG_WAIT_MS = 400;

  /**
   * Wait time with many entries, in milliseconds; the platform charges for calls that wait less.
   */
  static final int SHORT_WAIT_MS = 200;

  /**
   * Minimum pause, in milliseconds: in this time an engine produces about as many events as in ten
   * steps.
   */
  static final long MIN_PAUSE_MS = 150;

  /**
   * Fraction of a node's concurrent calls that is planned for, because calls of several entries may
   * coincide.
   */
  static final double USED_FRACTION = 0.7;

  /** Pause per entry that a response is passed on to, in milliseconds. */
  static final long PAUSE_PER_READER_MS = 12;

  /** Maximum pause of a reader that passes its responses on, in milliseconds. */
  static final long MAX_SHARED_PAUSE_MS = 400;

  /**
   * Time that a response and its way to the other entries may take in addition to two polls before
   * the second reader polls, in milliseconds.
   */
  static final long HANDOVER_MS = 150;

  /** Maximum delay between the polls of two consecutive readers, in milliseconds. */
  static final long RANK_DELAY_MS = 25;

  /**
   * Age of a view at which the last reader of a group polls, in milliseconds; a view is used up to
   * {@link CacheDirectory#MAX_AGE_MS}.
   */
  static final long LAST_READER_AGE_MS = 1_050;

  /**
   * Returns the schedule of the first reader of a group.
   *
   * @param groups number of groups whose first readers poll the node
   * @param readers number of entries in the group, including the first reader
   * @param maxReaders concurrent calls that the node accepts, 0 if not stated
   */
  public static EventPollSchedule shared(int groups, int readers, int maxReaders) {
    EventPollSchedule alone = of(groups, maxReaders);
    if (readers <= 1) {
      return alone;
    }
    long pause = Math.min(MAX_SHARED_PAUSE_MS, PAUSE_PER_READER_MS * readers);
    return new EventPollSchedule(SHORT_WAIT_MS, Math.max(alone.pauseMs(), pause));
  }

  /**
   * Returns the age of a view at which an entry polls the node itself, in milliseconds; 0 for the
   * first reader. The age counts from the sending of a poll.
   *
   * @param rank position of the entry in the order of readers, 0 for the first
   * @param readers number of entries that share their reads
   */
  public long maxSharedAgeMs(int rank, int readers) {
    if (rank <= 0) {
      return 0;
    }
    long second = Math.min(LAST_READER_AGE_MS, 2L * waitMs + pauseMs + HANDOVER_MS);
    long delay = Math.min(RANK_DELAY_MS, (LAST_READER_AGE_MS - second) / Math.max(1, readers - 2));
    return second + (rank - 1) * delay;
  }

  /**
   * Returns the schedule.
   *
   * @param entries number of entries that poll the node
   * @param maxReaders concurrent calls that the node accepts, 0 if not stated
   */
  public static EventPollSchedule of(int entries, int maxReaders) {
    double usableCalls = USED_FRACTION * maxReaders;
    if (maxReaders <= 0 || entries <= usableCalls) {
      return new EventPollSchedule(LONG_WAIT_MS, MIN_PAUSE_MS);
    }
    long pause = Math.round(SHORT_WAIT_MS * (entries / usableCalls - 1));
    return new EventPollSchedule(SHORT_WAIT_MS, Math.max(MIN_PAUSE_MS, pause));
  }
}

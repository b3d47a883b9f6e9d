package org.cowslipyoke.relay;

/**
 * Schedule by which an entry polls a node for its cache events. If there are more entries than the
 * node accepts concurrent calls, all entries poll less often, so that none is refused.
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

  /**
   * Returns the schedule.
   *
   * @param entries number of live entries
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

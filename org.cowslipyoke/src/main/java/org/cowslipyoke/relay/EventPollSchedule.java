package org.cowslipyoke.relay;

/**
 * How often an entry asks a place for its cache events. Answers for more entries than a place bears
 * calls at once: all of them read it then, at longer intervals, instead of being refused in turn.
 *
 * @param waitMs time for which a call waits for events
 * @param pauseMs pause after an answer; events of several requests come together
 */
public record EventPollSchedule(int waitMs, long pauseMs) {

  /** Waiting time with few entries, in milliseconds: few calls while nothing happens. */
  static final int LONG_WAIT_MS = 400;

  /** Waiting time with many entries, in milliseconds; the platform prices shorter ones. */
  static final int SHORT_WAIT_MS = 200;

  /** Shortest pause, in milliseconds: about as many events as an engine has in ten steps. */
  static final long MIN_PAUSE_MS = 150;

  /** Part of a place's calls at once that is planned for; calls of entries come together. */
  static final double USED_PART = 0.7;

  /**
   * Returns the pace.
   *
   * @param entries live entries
   * @param maxReaders calls that the place bears at once; 0 if it states none
   */
  public static EventPollSchedule of(int entries, int maxReaders) {
    double borne = USED_PART * maxReaders;
    if (maxReaders <= 0 || entries <= borne) {
      return new EventPollSchedule(LONG_WAIT_MS, MIN_PAUSE_MS);
    }
    long pause = Math.round(SHORT_WAIT_MS * (entries / borne - 1));
    return new EventPollSchedule(SHORT_WAIT_MS, Math.max(MIN_PAUSE_MS, pause));
  }
}

package org.cowslipyoke.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Number of concurrent runs that a backend server has proved to carry. It starts at the cold value
 * and doubles each time as many runs have completed as it allows, up to the engine's batch.
 *
 * <p>Runs carry the number of the warm-up period in which they were started. A run of an earlier
 * period proves nothing about the present one, so its end and its first token are not counted. Not
 * thread-safe.
 */
public final class ColdStartLimit {

  /** Factor over the expected time above which a first token counts as slow. */
  public static final int SLOW_FACTOR = 4;

  /** Successive slow first tokens after which the server counts as cold. */
  public static final int SLOW_LIMIT = 3;

  /** Incarnations that are remembered so that a lagging report of them is recognised. */
  private static final int RETIRED_LIMIT = 8;

  private final Deque<String> retired = new ArrayDeque<>();
  private @Nullable String incarnation;
  private int coldValue;
  private int batch;
  private int earned;
  private int completed;
  private int slow;
  private boolean reportedCold;
  private long period = 1;

  /**
   * Creates a limit for a cold server.
   *
   * @param coldValue runs that a cold server carries
   */
  public ColdStartLimit(int coldValue) {
    this.coldValue = Math.max(1, coldValue);
    this.earned = this.coldValue;
    this.batch = Integer.MAX_VALUE;
  }

  /** Changes the cold value; the earned allowance stays unless the server turns cold again. */
  public void coldValue(int value) {
    coldValue = Math.max(1, value);
    earned = Math.max(earned, coldValue);
  }

  /** Changes the number of runs that the engine executes together when it is warm. */
  public void batch(int value) {
    batch = Math.max(1, value);
    earned = Math.min(earned, Math.max(batch, coldValue));
  }

  /** Returns the runs that may execute at the moment. */
  public int allowance() {
    return Math.min(earned, batch);
  }

  /** Returns whether the allowance is still below the engine's batch. */
  public boolean isWarming() {
    return earned < batch;
  }

  /** Returns the number of the present warm-up period. */
  public long period() {
    return period;
  }

  /**
   * Notes the engine's incarnation from a source that may lag; a name that was replaced earlier is
   * ignored.
   *
   * @return whether the server turned cold
   */
  public boolean incarnation(String current) {
    if (current.equals(incarnation) || retired.contains(current)) {
      return false;
    }
    boolean first = incarnation == null;
    if (incarnation != null) {
      retired.addLast(incarnation);
      if (retired.size() > RETIRED_LIMIT) {
        retired.removeFirst();
      }
    }
    incarnation = current;
    if (first) {
      return false;
    }
    turnCold();
    return true;
  }

  /**
   * Notes what the engine reports about itself. Only the change to cold counts: the engine goes on
   * saying cold while the allowance is being earned again.
   *
   * @return whether the server turned cold
   */
  public boolean report(String reporter, boolean cold) {
    boolean restarted = incarnation(reporter);
    if (!reporter.equals(incarnation)) {
      return false;
    }
    boolean turned = cold && !reportedCold && !restarted;
    reportedCold = cold;
    if (turned) {
      turnCold();
    }
    return restarted || turned;
  }

  /**
   * Notes the time to the first token of a run.
   *
   * @return whether the server turned cold
   */
  public boolean firstToken(long runPeriod, long tookMs, long expectedMs) {
    if (runPeriod != period) {
      return false;
    }
    slow = tookMs > SLOW_FACTOR * expectedMs ? slow + 1 : 0;
    if (slow < SLOW_LIMIT) {
      return false;
    }
    turnCold();
    return true;
  }

  /** Counts a completed run. */
  public void completed(long runPeriod) {
    if (runPeriod != period || !isWarming()) {
      return;
    }
    completed++;
    if (completed >= earned) {
      earned = (int) Math.min(batch, 2L * earned);
      completed = 0;
    }
  }

  /** Falls back to the cold value and begins a new warm-up period. */
  public void turnCold() {
    earned = coldValue;
    completed = 0;
    slow = 0;
    period++;
  }
}

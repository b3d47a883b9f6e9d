package org.cowslipyoke.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Concurrency limit of a backend server with a slow start. The limit begins at the value for a cold
 * server and doubles each time as many runs have completed as it allows, up to the engine's maximum
 * batch.
 *
 * <p>Each run has the number of the warm-up period in which it was started. A run of an earlier
 * period says nothing about the present one, so its end and its first token are not counted. Not
 * thread-safe.
 */
public final class ColdStartLimit {

  /** Multiple of the expected time to the first token above which a first token is slow. */
  public static final int SLOW_FACTOR = 4;

  /** Number of consecutive slow first tokens after which the server is treated as cold. */
  public static final int MAX_SLOW_FIRST_TOKENS = 3;

  /** Number of earlier incarnations that are kept to recognise outdated reports of them. */
  private static final int MAX_EARLIER_INCARNATIONS = 8;

  private final Deque<String> earlierIncarnations = new ArrayDeque<>();
  private @Nullable String incarnation;
  private int coldLimit;
  private int maxBatch;
  private int limit;
  private int completedRuns;
  private int slowFirstTokens;
  private boolean reportedCold;
  private long period = 1;

  /**
   * Creates a limit for a cold server.
   *
   * @param coldLimit runs that a cold server carries
   */
  public ColdStartLimit(int coldLimit) {
    this.coldLimit = Math.max(1, coldLimit);
    this.limit = this.coldLimit;
    this.maxBatch = Integer.MAX_VALUE;
  }

  /** Changes the limit of a cold server; a higher present limit stays until the next reset. */
  public void setColdLimit(int value) {
    coldLimit = Math.max(1, value);
    limit = Math.max(limit, coldLimit);
  }

  /** Changes the number of runs that the engine executes together when it is warm. */
  public void setMaxBatch(int value) {
    maxBatch = Math.max(1, value);
    limit = Math.min(limit, Math.max(maxBatch, coldLimit));
  }

  /** Returns the number of runs that may execute at present. */
  public int allowance() {
    return Math.min(limit, maxBatch);
  }

  /** Returns whether the limit is still below the engine's maximum batch. */
  public boolean isWarming() {
    return limit < maxBatch;
  }

  /** Returns the number of the present warm-up period. */
  public long period() {
    return period;
  }

  /**
   * Handles an incarnation of the engine, from a source that may lag. An incarnation that was
   * replaced earlier is ignored.
   *
   * @return whether the limit was reset
   */
  public boolean onIncarnation(String reported) {
    if (reported.equals(incarnation) || earlierIncarnations.contains(reported)) {
      return false;
    }
    boolean first = incarnation == null;
    if (incarnation != null) {
      earlierIncarnations.addLast(incarnation);
      if (earlierIncarnations.size() > MAX_EARLIER_INCARNATIONS) {
        earlierIncarnations.removeFirst();
      }
    }
    incarnation = reported;
    if (first) {
      return false;
    }
    resetToCold();
    return true;
  }

  /**
   * Handles a load report of the engine. Only the change from warm to cold resets the limit,
   * because the engine goes on reporting cold while the limit grows again.
   *
   * @param reporter incarnation that sent the report
   * @return whether the limit was reset
   */
  public boolean onReport(String reporter, boolean cold) {
    boolean restarted = onIncarnation(reporter);
    if (!reporter.equals(incarnation)) {
      return false;
    }
    boolean newlyCold = cold && !reportedCold && !restarted;
    reportedCold = cold;
    if (newlyCold) {
      resetToCold();
    }
    return restarted || newlyCold;
  }

  /**
   * Handles the first token of a run.
   *
   * @param runPeriod warm-up period in which the run was started
   * @return whether the limit was reset
   */
  public boolean onFirstToken(long runPeriod, long tookMs, long expectedMs) {
    if (runPeriod != period) {
      return false;
    }
    slowFirstTokens = tookMs > SLOW_FACTOR * expectedMs ? slowFirstTokens + 1 : 0;
    if (slowFirstTokens < MAX_SLOW_FIRST_TOKENS) {
      return false;
    }
    resetToCold();
    return true;
  }

  /** Counts a completed run. */
  public void onCompleted(long runPeriod) {
    if (runPeriod != period || !isWarming()) {
      return;
    }
    completedRuns++;
    if (completedRuns >= limit) {
      limit = (int) Math.min(maxBatch, 2L * limit);
      completedRuns = 0;
    }
  }

  /** Resets the limit to that of a cold server and begins a new warm-up period. */
  public void resetToCold() {
    limit = coldLimit;
    completedRuns = 0;
    slowFirstTokens = 0;
    period++;
  }
}

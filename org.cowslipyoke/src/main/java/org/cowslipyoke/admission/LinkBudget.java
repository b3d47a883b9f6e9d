package org.cowslipyoke.admission;

import java.util.random.RandomGenerator;
import org.cowslipyoke.util.Clock;

/**
 * Bandwidth budget of one link between a server and a store VM. Combines a token bucket in bytes
 * with priorities, a measurement of the link's rate, and a circuit breaker that closes a failing
 * link to transfers. Thread-safe.
 *
 * <p>The caller ends each granted transfer with {@link #succeeded}, {@link #onResponse} or {@link
 * #failed}.
 */
public final class LinkBudget {

  /** Purpose of a transfer, most urgent first. */
  public enum Purpose {
    INTERACTIVE_IMPORT(0.0),
    EXPORT(0.25),
    OVERNIGHT(0.5);

    /** Share of the bucket that is reserved for more urgent transfers. */
    private final double reservedShare;

    Purpose(double reservedShare) {
      this.reservedShare = reservedShare;
    }
  }

  /** Number of consecutive failures after which the link is closed. */
  public static final int FAILURE_LIMIT = 3;

  /**
   * Time for which a link is closed at first, in milliseconds before jitter; doubles with each
   * further failure.
   */
  public static final long FIRST_CLOSE_MS = 1_000;

  /** Longest time for which a link is closed, in milliseconds before jitter. */
  public static final long MAX_CLOSE_MS = 30_000;

  /**
   * Size of the bucket, in seconds of the configured rate. It bounds by how much the transfers of a
   * short period may exceed the budget.
   */
  private static final double BURST_SECONDS = 0.25;

  /**
   * Length of a window of the rate measurement, in milliseconds. The measured rate is the largest
   * sample of the present and the previous window, as in BBR (Cardwell et al., "BBR:
   * Congestion-Based Congestion Control", ACM Queue 14(5), 2016). An average would underestimate a
   * fast link, because the samples of small or concurrent transfers are below the link's rate.
   */
  public static final long WINDOW_MS = 5_000;

  /**
   * Lower bound of the rate as a share of the configured one. At a lower rate hardly any transfer
   * would be granted, and the recovery of the link would not be noticed.
   */
  private static final double MIN_RATE_SHARE = 0.01;

  /** Time in milliseconds after which a trial transfer over a reopened link counts as lost. */
  private static final long TRIAL_TIMEOUT_MS = 10_000;

  private final Clock clock;
  private final RandomGenerator random;
  private double configuredRate;
  private double windowMaxRate;
  private double previousWindowMaxRate;
  private long windowStartMs;
  private double tokens;
  private long refilledAtMs;
  private int announcedImports;
  private int failures;
  private long nextCloseMs = FIRST_CLOSE_MS;
  private long closedUntilMs;
  private long trialTimeoutAtMs;

  /**
   * Creates an open link with a full bucket.
   *
   * @param bytesPerSecond configured rate
   * @param random source of jitter
   */
  public LinkBudget(Clock clock, long bytesPerSecond, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.configuredRate = Math.max(1, bytesPerSecond);
    this.tokens = burst();
    this.refilledAtMs = clock.nowMs();
    this.windowStartMs = refilledAtMs;
    this.closedUntilMs = refilledAtMs;
    this.trialTimeoutAtMs = refilledAtMs;
  }

  /** Changes the configured rate. */
  public synchronized void configure(long bytesPerSecond) {
    refill();
    configuredRate = Math.max(1, bytesPerSecond);
    tokens = Math.min(tokens, burst());
  }

  /**
   * Announces an interactive import. Until the announcement is withdrawn, only transfers for
   * interactive imports are granted.
   */
  public synchronized void announceInteractiveImport() {
    announcedImports++;
  }

  /** Withdraws the announcement of one interactive import. */
  public synchronized void withdrawInteractiveImport() {
    announcedImports = Math.max(0, announcedImports - 1);
  }

  /**
   * Takes the tokens for one transfer. A transfer larger than the bucket needs a full bucket and
   * leaves a negative balance, so that the average rate stays within the budget for any block size.
   *
   * @return false if the transfer must wait or the link is closed
   */
  public synchronized boolean tryAcquire(Purpose purpose, long bytes) {
    if (!isOpen() || (purpose != Purpose.INTERACTIVE_IMPORT && announcedImports > 0)) {
      return false;
    }
    refill();
    double need = Math.min(burst(), bytes + purpose.reservedShare * burst());
    if (tokens < need) {
      return false;
    }
    tokens -= bytes;
    if (failures >= FAILURE_LIMIT) {
      trialTimeoutAtMs = clock.nowMs() + TRIAL_TIMEOUT_MS;
    }
    return true;
  }

  /** Records a complete transfer, which is also a sample of the rate. */
  public synchronized void succeeded(long bytes, long tookMs) {
    rollWindow();
    windowMaxRate = Math.max(windowMaxRate, bytes * 1000.0 / Math.max(1, tookMs));
    onResponse();
  }

  /** Records that the store VM answered, without a sample of the rate; opens the link. */
  public synchronized void onResponse() {
    failures = 0;
    nextCloseMs = FIRST_CLOSE_MS;
    closedUntilMs = clock.nowMs();
    trialTimeoutAtMs = closedUntilMs;
  }

  /** Records a failed transfer; closes the link after {@link #FAILURE_LIMIT} consecutive ones. */
  public synchronized void failed() {
    failures++;
    long now = clock.nowMs();
    trialTimeoutAtMs = now;
    if (failures < FAILURE_LIMIT || now < closedUntilMs) {
      return;
    }
    long jitter = random.nextLong(nextCloseMs / 2 + 1);
    closedUntilMs = now + nextCloseMs + jitter;
    nextCloseMs = Math.min(MAX_CLOSE_MS, 2 * nextCloseMs);
  }

  /**
   * Returns whether a transfer may be tried. After its closing time a link admits one trial
   * transfer at a time until one succeeds.
   */
  public synchronized boolean isOpen() {
    long now = clock.nowMs();
    return now >= closedUntilMs && now >= trialTimeoutAtMs;
  }

  /**
   * Returns the rate in bytes per second: the measured one if it is lower than the configured one.
   * Without a transfer in the present or the previous window it is the configured rate, so that the
   * link is tried again.
   */
  public synchronized double rate() {
    rollWindow();
    double measured = Math.max(windowMaxRate, previousWindowMaxRate);
    return measured == 0
        ? configuredRate
        : Math.max(MIN_RATE_SHARE * configuredRate, Math.min(configuredRate, measured));
  }

  private void rollWindow() {
    long age = clock.nowMs() - windowStartMs;
    if (age >= WINDOW_MS) {
      previousWindowMaxRate = age < 2 * WINDOW_MS ? windowMaxRate : 0;
      windowMaxRate = 0;
      windowStartMs = clock.nowMs();
    }
  }

  /** Returns the expected milliseconds until a transfer of this size is granted and complete. */
  public synchronized long expectedMs(long bytes) {
    refill();
    double missing = Math.max(0, Math.min(burst(), (double) bytes) - tokens);
    return Math.round((missing + bytes) * 1000.0 / rate());
  }

  private double burst() {
    return BURST_SECONDS * configuredRate;
  }

  private void refill() {
    long now = clock.nowMs();
    tokens = Math.min(burst(), tokens + rate() * (now - refilledAtMs) / 1000.0);
    refilledAtMs = now;
  }
}

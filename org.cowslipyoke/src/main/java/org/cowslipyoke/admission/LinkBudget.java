package org.cowslipyoke.admission;

import java.util.random.RandomGenerator;
import org.cowslipyoke.util.Clock;

/**
 * Budget of one link between a server and a store VM: a token bucket in bytes with priorities, the
 * measured rate, and closing of a failing link. Thread-safe.
 *
 * <p>Each granted transfer ends with {@link #succeeded} or {@link #failed}.
 */
public final class LinkBudget {

  /** Purpose of a transfer, most urgent first. */
  public enum Purpose {
    INTERACTIVE_IMPORT(0.0),
    EXPORT(0.25),
    OVERNIGHT(0.5);

    /** Part of the bucket that is left to more urgent transfers. */
    private final double spared;

    Purpose(double spared) {
      this.spared = spared;
    }
  }

  /** Consecutive failures after which the link is closed. */
  public static final int FAILURE_LIMIT = 3;

  /** Time for which a link is closed first, in milliseconds; doubles with each further failure. */
  public static final long FIRST_CLOSE_MS = 1_000;

  /** Longest time for which a link is closed, in milliseconds, before jitter. */
  public static final long MAX_CLOSE_MS = 30_000;

  /** Burst in seconds of the rate; it bounds how far a short window may exceed the budget. */
  private static final double BURST_SECONDS = 0.25;

  /**
   * Length of a window of the measured rate, in milliseconds. The rate is the largest sample of the
   * present and the last window, as in BBR (Cardwell et al., "BBR: Congestion-Based Congestion
   * Control", ACM Queue 14(5), 2016): a small transfer, or one of several at a time, takes longer
   * than its share of the link, so an average would make a fast link look slow.
   */
  public static final long WINDOW_MS = 5_000;

  /** Lowest share of the configured rate; below it a recovered link would not be noticed. */
  private static final double MIN_SHARE = 0.01;

  /** Time after which a trial transfer over a reopened link counts as lost, in milliseconds. */
  private static final long TRIAL_MS = 10_000;

  private final Clock clock;
  private final RandomGenerator random;
  private double configured;
  private double windowMax;
  private double lastWindowMax;
  private long windowStartMs;
  private double tokens;
  private long filledMs;
  private int waitingInteractive;
  private int failures;
  private long closeMs = FIRST_CLOSE_MS;
  private long closedUntilMs;
  private long trialUntilMs;

  /**
   * Creates an open link with a full bucket.
   *
   * @param bytesPerSecond configured budget
   * @param random source of the jitter
   */
  public LinkBudget(Clock clock, long bytesPerSecond, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
    this.configured = Math.max(1, bytesPerSecond);
    this.tokens = burst();
    this.filledMs = clock.nowMs();
    this.windowStartMs = filledMs;
    this.closedUntilMs = filledMs;
    this.trialUntilMs = filledMs;
  }

  /** Changes the configured budget. */
  public synchronized void configure(long bytesPerSecond) {
    fill();
    configured = Math.max(1, bytesPerSecond);
    tokens = Math.min(tokens, burst());
  }

  /** Announces an interactive import; no other transfer starts until it is withdrawn. */
  public synchronized void announceInteractiveImport() {
    waitingInteractive++;
  }

  /** Withdraws an announcement. */
  public synchronized void withdrawInteractiveImport() {
    waitingInteractive = Math.max(0, waitingInteractive - 1);
  }

  /**
   * Takes the budget of one transfer. A transfer above the burst needs a full bucket and leaves a
   * debt, so the average stays within the budget for any block size.
   *
   * @return false if the transfer must wait or the link is closed
   */
  public synchronized boolean tryAcquire(Purpose purpose, long bytes) {
    if (!isOpen() || (purpose != Purpose.INTERACTIVE_IMPORT && waitingInteractive > 0)) {
      return false;
    }
    fill();
    double need = Math.min(burst(), bytes + purpose.spared * burst());
    if (tokens < need) {
      return false;
    }
    tokens -= bytes;
    if (failures >= FAILURE_LIMIT) {
      trialUntilMs = clock.nowMs() + TRIAL_MS;
    }
    return true;
  }

  /** Records a complete transfer. */
  public synchronized void succeeded(long bytes, long tookMs) {
    rollWindow();
    windowMax = Math.max(windowMax, bytes * 1000.0 / Math.max(1, tookMs));
    onResponse();
  }

  /** Records that the peer answered, without a measurement of the rate. */
  public synchronized void onResponse() {
    failures = 0;
    closeMs = FIRST_CLOSE_MS;
    closedUntilMs = clock.nowMs();
    trialUntilMs = closedUntilMs;
  }

  /** Records a failed transfer; closes the link after {@link #FAILURE_LIMIT} in a row. */
  public synchronized void failed() {
    failures++;
    long now = clock.nowMs();
    trialUntilMs = now;
    if (failures < FAILURE_LIMIT || now < closedUntilMs) {
      return;
    }
    long jitter = random.nextLong(closeMs / 2 + 1);
    closedUntilMs = now + closeMs + jitter;
    closeMs = Math.min(MAX_CLOSE_MS, 2 * closeMs);
  }

  /**
   * Returns whether a transfer may be tried. A link that was closed opens for one trial transfer at
   * a time until one succeeds.
   */
  public synchronized boolean isOpen() {
    long now = clock.nowMs();
    return now >= closedUntilMs && now >= trialUntilMs;
  }

  /**
   * Returns the rate in bytes a second: the measured one if it is lower than the configured. A link
   * without a transfer in both windows has its configured rate, so that it is tried again.
   */
  public synchronized double rate() {
    rollWindow();
    double measured = Math.max(windowMax, lastWindowMax);
    return measured == 0
        ? configured
        : Math.max(MIN_SHARE * configured, Math.min(configured, measured));
  }

  private void rollWindow() {
    long age = clock.nowMs() - windowStartMs;
    if (age >= WINDOW_MS) {
      lastWindowMax = age < 2 * WINDOW_MS ? windowMax : 0;
      windowMax = 0;
      windowStartMs = clock.nowMs();
    }
  }

  /** Returns the milliseconds until a transfer of this size could be granted and done. */
  public synchronized long expectedMs(long bytes) {
    fill();
    double missing = Math.max(0, Math.min(burst(), (double) bytes) - tokens);
    return Math.round((missing + bytes) * 1000.0 / rate());
  }

  private double burst() {
    return BURST_SECONDS * configured;
  }

  private void fill() {
    long now = clock.nowMs();
    tokens = Math.min(burst(), tokens + rate() * (now - filledMs) / 1000.0);
    filledMs = now;
  }
}

package org.cowslipyoke.relay.profile;

import org.cowslipyoke.relay.PeerLoads.Load;

/** Progress of one run at a server, against the expected time to its first and next content. */
final class StreamProgress {

  /** Factor by which earlier gaps are discounted at each further one. */
  private static final double DECAY = 0.6;

  /**
   * Delay between an engine and this entry that doesn't depend on the engine's speed, in
   * milliseconds.
   */
  private static final double SLACK_MS = 10;

  /** Gap in milliseconds that is expected until the gaps of the service are known. */
  private static final double UNKNOWN_GAP_MS = 300;

  /** Age in milliseconds from which the pace of a stream says nothing about now. */
  private static final long MAX_AGE_MS = 600;

  private final long startMs;
  private final double expectedFirstMs;
  private long lastMs;
  private boolean begun;
  private double expectedGapMs;
  private double tookSumMs;
  private double expectedSumMs;

  /** Load of the server at the last content. */
  private Load lastLoad;

  StreamProgress(long startMs, double expectedFirstMs, Load load) {
    this.startMs = startMs;
    this.lastMs = startMs;
    this.expectedFirstMs = expectedFirstMs + SLACK_MS;
    this.lastLoad = load;
  }

  boolean isBegun() {
    return begun;
  }

  long startMs() {
    return startMs;
  }

  long lastMs() {
    return lastMs;
  }

  Load lastLoad() {
    return lastLoad;
  }

  /**
   * Records content.
   *
   * @param gapMs expected time between two contents in milliseconds, NaN if not known
   */
  void recordContent(long nowMs, double gapMs, Load load) {
    double expected = Double.isNaN(gapMs) ? UNKNOWN_GAP_MS : gapMs + SLACK_MS;
    if (!begun) {
      begun = true;
      expectedSumMs = expected;
      tookSumMs = expected * (nowMs - startMs) / expectedFirstMs;
    } else if (!Double.isNaN(gapMs)) {
      tookSumMs = DECAY * tookSumMs + nowMs - lastMs;
      expectedSumMs = DECAY * expectedSumMs + Math.max(expected, expectedGapMs);
    }
    expectedGapMs = expected;
    lastMs = nowMs;
    lastLoad = load;
  }

  /** Excludes time in which this process didn't run. */
  void excludePause(long nowMs) {
    lastMs = nowMs;
  }

  /**
   * Returns the real over the expected time of what runs now, NaN if it is not known.
   *
   * @param gapMs expected time between two contents under the current load in milliseconds, NaN if
   *     not known
   */
  double slowness(long nowMs, double gapMs) {
    long openMs = nowMs - lastMs;
    if (!begun) {
      return openMs > expectedFirstMs ? openMs / expectedFirstMs : Double.NaN;
    }
    double pace = tookSumMs / expectedSumMs;
    double nextMs = Double.isNaN(gapMs) ? expectedGapMs : Math.max(expectedGapMs, gapMs + SLACK_MS);
    if (openMs <= nextMs) {
      return pace;
    }
    double withOpen = (tookSumMs + openMs) / (expectedSumMs + nextMs);
    return openMs > MAX_AGE_MS ? withOpen : Math.max(pace, withOpen);
  }

  /** Returns the pace of a run that has ended, NaN if it is too old or not known. */
  double lastPace(long nowMs) {
    return begun && nowMs - lastMs <= MAX_AGE_MS ? tookSumMs / expectedSumMs : Double.NaN;
  }
}

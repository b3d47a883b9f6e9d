package org.cowslipyoke.relay;

/**
 * Weights version that operators have set for a model.
 *
 * @param learnedMs monotonic time in milliseconds at which this process learned of it
 * @param foundAtStart whether it was set at this process's first read; it may then have been set at
 *     any time before
 */
public record WeightTarget(String model, int version, long learnedMs, boolean foundAtStart) {

  /**
   * Time for which a process that found the target at its start still uses older weights, in
   * milliseconds; servers that lack the target load it within this time.
   */
  static final long FOUND_AT_START_GRACE_MS = 2_000;

  /**
   * Returns whether older weights must no longer be used for new requests.
   *
   * @param maxMs time for which they may be used after newer ones were set, in milliseconds
   */
  boolean isBinding(long nowMs, long maxMs) {
    return nowMs - learnedMs > (foundAtStart ? FOUND_AT_START_GRACE_MS : maxMs);
  }
}

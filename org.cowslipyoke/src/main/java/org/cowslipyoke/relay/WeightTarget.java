package org.cowslipyoke.relay;

/**
 * Weights that operators named for a model.
 *
 * @param sinceMs monotonic time at which this process learned of them
 * @param foundAtStart whether they were there at this process's first reading, so that they may
 *     have been named any time before
 */
public record WeightTarget(String model, int version, long sinceMs, boolean foundAtStart) {

  /**
   * Time for which a process that found new weights at its start still uses old ones, in
   * milliseconds; servers load within it if they don't yet.
   */
  static final long FOUND_MAX_MS = 2_000;

  /**
   * Returns whether older weights must not be used for new requests any more.
   *
   * @param maxMs time for which they are used after newer ones were named
   */
  boolean isFinal(long nowMs, long maxMs) {
    return nowMs - sinceMs > (foundAtStart ? FOUND_MAX_MS : maxMs);
  }
}

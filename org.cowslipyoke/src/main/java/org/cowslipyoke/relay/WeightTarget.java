package org.cowslipyoke.relay;

/**
 * Weights that operators named for a model.
 *
 * @param sinceMs monotonic time at which this process learned of them
 */
public record WeightTarget(String model, int version, long sinceMs) {}

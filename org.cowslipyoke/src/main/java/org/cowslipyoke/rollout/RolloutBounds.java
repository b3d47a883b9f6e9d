package org.cowslipyoke.rollout;

/**
 * Bounds on the requests that a target version may get before it has proved itself.
 *
 * @param share fraction of the requests of a service between the order and its deadline
 * @param slack requests in addition to the fraction, from all entries together
 * @param rollbackMs time after the 50th bad answer within which the target must get no more
 *     requests, in milliseconds
 */
public record RolloutBounds(double share, int slack, long rollbackMs) {}

package org.cowslipyoke.rollout;

/**
 * An operator's order to move a service to servers of another software version.
 *
 * @param target version to move to
 * @param durationMs time within which the rollout must end, in milliseconds
 */
public record RolloutOrder(String service, String target, long durationMs) {}

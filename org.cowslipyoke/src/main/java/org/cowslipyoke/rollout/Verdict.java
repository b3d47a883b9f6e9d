package org.cowslipyoke.rollout;

/**
 * Result of a {@link VersionComparison}.
 *
 * @param fault what is wrong with the target, empty if nothing is known
 * @param suspected whether a fault is likely enough not to move more requests yet
 * @param targetAnswers answers of the target since the order
 * @param targetFailures failures among them
 * @param oldAnswers answers of the old versions since the order
 * @param oldFailures failures among them
 */
public record Verdict(
    String fault,
    boolean suspected,
    long targetAnswers,
    long targetFailures,
    long oldAnswers,
    long oldFailures) {

  /** A verdict without evidence. */
  static final Verdict NONE = new Verdict("", false, 0, 0, 0, 0);
}

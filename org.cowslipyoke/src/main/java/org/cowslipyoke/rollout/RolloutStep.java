package org.cowslipyoke.rollout;

/** Step of a rollout. */
public enum RolloutStep {
  /** A small share of the requests goes to the target. */
  CANARY(1),
  /** A larger share, below the bound on exposure. */
  WIDER(2),
  /**
   * From the time of the step on, all requests go to the target, and the old servers finish what
   * they run; until then the share remains.
   */
  FINAL(3),
  /** The target has replaced the old versions, whose servers stop. */
  SUCCEEDED(4),
  /** The target gets nothing. */
  ROLLED_BACK(5);

  private final int number;

  RolloutStep(int number) {
    this.number = number;
  }

  /** Returns the number of the step in reports and metrics, from 1. */
  public int number() {
    return number;
  }

  /** Returns whether the rollout has ended. */
  public boolean isOver() {
    return this == SUCCEEDED || this == ROLLED_BACK;
  }
}

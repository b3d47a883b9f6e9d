package org.cowslipyoke.rollout;

import java.util.Map;

/** Is told of changes that operators want to see in the log. */
public interface RolloutListener {

  /** Ignores all changes. */
  RolloutListener NONE = new RolloutListener() {};

  /** Records that the orders have changed. */
  default void ordersChanged(Map<String, RolloutOrder> now) {}

  /** Records that this entry knows a new step. */
  default void stepChanged(RolloutState s) {}

  /** Records that this entry sends nothing to the target any more. */
  default void halted(EntryRollouts.Progress p, String fault) {}
}

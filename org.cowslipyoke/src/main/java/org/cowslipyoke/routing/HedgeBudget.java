package org.cowslipyoke.routing;

import org.cowslipyoke.util.Clock;

/** Limits the hedged requests of one entry to 2 % of its requests. */
public final class HedgeBudget {

  /** Number of requests for each permitted hedge (2 %). */
  public static final int REQUESTS_PER_HEDGE = 50;

  private final RetryBudget budget;

  /** Creates the budget of an entry. */
  public HedgeBudget(Clock clock) {
    this.budget = new RetryBudget(clock, REQUESTS_PER_HEDGE, 0);
  }

  /** Counts a request. */
  public void onRequest() {
    budget.onRequest();
  }

  /** Takes one hedge from the budget; returns false if it is used up. */
  public boolean tryHedge() {
    return budget.tryRetry();
  }
}

package org.cowslipyoke.relay;

/**
 * Ranks of urgency, by which loads are kept apart and engines order requests; 0 is the most urgent.
 * The priority decides first. At the same priority, routes with a much shorter objective than
 * others of their service come first: the others can wait for them and still be in time. Several
 * priorities share a rank, so that the state of each server and the reports between entries stay
 * small.
 */
public final class UrgencyRank {

  /** Number of ranks. */
  public static final int COUNT = 8;

  /** The most urgent rank; also that of work whose urgency is not known. */
  public static final int MOST_URGENT = 0;

  /** Factor by which the longest objective of a service exceeds a short one. */
  static final double SHORT_FACTOR = 2;

  /** Least urgent priority of each group of priorities but the last. */
  private static final int[] LAST_PRIORITY = {0, 1, 4};

  private UrgencyRank() {}

  /**
   * Returns the rank of a priority.
   *
   * @param priority priority of a request, 0 is the most urgent
   * @param shortObjective whether others of the same priority can wait for the request
   */
  public static int of(int priority, boolean shortObjective) {
    int group = 0;
    while (group < LAST_PRIORITY.length && priority > LAST_PRIORITY[group]) {
      group++;
    }
    return 2 * group + (shortObjective ? 0 : 1);
  }

  /** Returns the rank of requests of a route to a service with a priority. */
  public static int of(RouteTable routes, Route route, String service, int priority) {
    long ownMs = route.objectiveMs();
    boolean shortObjective =
        ownMs > 0 && SHORT_FACTOR * ownMs <= routes.longestObjectiveMs(service);
    return of(priority, shortObjective);
  }
}

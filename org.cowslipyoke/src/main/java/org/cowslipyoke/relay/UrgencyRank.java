package org.cowslipyoke.relay;

/**
 * Ranks of urgency by which loads are kept apart. Several priorities share a rank, so that the
 * state of each server and the reports between entries stay small.
 */
public final class UrgencyRank {

  /** Number of ranks. */
  public static final int COUNT = 4;

  /** The most urgent rank; also that of work whose urgency is not known. */
  public static final int MOST_URGENT = 0;

  /** Least urgent priority of each rank but the last. */
  private static final int[] LAST_PRIORITY = {0, 1, 4};

  private UrgencyRank() {}

  /**
   * Returns the rank of a priority.
   *
   * @param priority priority of a request, 0 is the most urgent
   */
  public static int of(int priority) {
    int rank = 0;
    while (rank < LAST_PRIORITY.length && priority > LAST_PRIORITY[rank]) {
      rank++;
    }
    return rank;
  }
}

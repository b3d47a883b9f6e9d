package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.util.Clock;

/**
 * Recent demand for prompts by service and rank of urgency at this entry, and the time that prompts
 * of each rank can spend behind work that they don't overtake. Thread-safe.
 */
public final class PromptDemand {

  /** Half-life of the weight of a prompt, in milliseconds. */
  static final double HALF_LIFE_MS = 1_000;

  /**
   * Weight of recent prompts from which a rank has demand. One prompt counts for two seconds, so
   * that an entry with little traffic keeps room for a rank that it gets a few times a second.
   */
  static final double MIN_WEIGHT = 0.25;

  /** Maximum number of services tracked; above that of the largest planned deployment. */
  private static final int MAX_SERVICES = 256;

  /** Prompts of one rank. */
  private static final class RankDemand {
    private double weight;
    private double slackSumMs;
    private long updatedMs;

    void decay(long nowMs) {
      double factor = Math.pow(0.5, (nowMs - updatedMs) / HALF_LIFE_MS);
      weight *= factor;
      slackSumMs *= factor;
      updatedMs = nowMs;
    }
  }

  private final Clock clock;
  private final Map<String, RankDemand[]> services = new HashMap<>();

  /** Creates a record without demand. */
  public PromptDemand(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records a prompt.
   *
   * @param slackMs time that it could have waited and still be in time, in milliseconds
   */
  public synchronized void record(String service, int rank, double slackMs) {
    if (!services.containsKey(service) && services.size() >= MAX_SERVICES) {
      return;
    }
    RankDemand d = services.computeIfAbsent(service, s -> newDemand())[rank];
    d.decay(clock.nowMs());
    d.weight++;
    d.slackSumMs += Math.max(0, slackMs);
  }

  private RankDemand[] newDemand() {
    RankDemand[] ranks = new RankDemand[UrgencyRank.COUNT];
    for (int i = 0; i < ranks.length; i++) {
      ranks[i] = new RankDemand();
      ranks[i].updatedMs = clock.nowMs();
    }
    return ranks;
  }

  /**
   * Demand that is more urgent than a rank.
   *
   * @param rank least urgent rank of that demand
   * @param slackMs time that its prompts can wait, in milliseconds; the mean of the rank with the
   *     least
   */
  public record Urgent(int rank, double slackMs) {

    /** No more urgent demand. */
    public static final Urgent NONE = new Urgent(-1, Double.MAX_VALUE);
  }

  /** Returns the recent demand of a service that is more urgent than a rank. */
  public synchronized Urgent moreUrgentThan(String service, int rank) {
    RankDemand[] ranks = services.get(service);
    Urgent found = Urgent.NONE;
    for (int r = 0; ranks != null && r < rank; r++) {
      ranks[r].decay(clock.nowMs());
      if (ranks[r].weight >= MIN_WEIGHT) {
        double slackMs = ranks[r].slackSumMs / ranks[r].weight;
        found = new Urgent(r, Math.min(found.slackMs(), slackMs));
      }
    }
    return found;
  }
}

package org.cowslipyoke.relay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Max-min fair shares of the organisations in the prompt tokens of a service and rank, over the
 * last seconds at this entry. An organisation has used up its share if it was served up to the
 * level to which the demand of every organisation could have been served. Thread-safe.
 */
public final class OrganisationShares {

  /** Half-life of the weight of a prompt, in milliseconds. */
  static final double HALF_LIFE_MS = 2_000;

  /** Fraction of the share from which it is used up; allows for prompts that wait. */
  static final double SHARE_FRACTION = 0.95;

  /** Tokens of demand below which an organisation is forgotten. */
  private static final double MIN_TOKENS = 1;

  /** Maximum number of organisations of a service and rank; others count as one. */
  static final int MAX_ORGANISATIONS = 256;

  private static final String OTHERS = "";

  private record Key(String service, int rank) {}

  /** Tokens of an organisation. */
  private static final class Tokens {
    private double asked;
    private double served;
  }

  private static final class Group {
    private final Map<String, Tokens> byOrganisation = new HashMap<>();
    private long updatedMs;
  }

  private final Clock clock;
  private final Map<Key, Group> groups = new HashMap<>();

  /** Creates shares of organisations that have asked for nothing. */
  public OrganisationShares(Clock clock) {
    this.clock = clock;
  }

  /** Records a prompt that arrived. */
  public synchronized void recordAsked(
      String service, int rank, @Nullable String organisation, int promptTokens) {
    tokens(service, rank, organisation).asked += Math.max(1, promptTokens);
  }

  /** Records a prompt that was sent to an engine. */
  public synchronized void recordServed(
      String service, int rank, @Nullable String organisation, int promptTokens) {
    tokens(service, rank, organisation).served += Math.max(1, promptTokens);
  }

  /**
   * Returns whether an organisation has used up its share beside others. One whose demand is met
   * never has.
   */
  public synchronized boolean isOverShare(String service, int rank, @Nullable String organisation) {
    Group g = group(service, rank);
    Tokens own = tokens(service, rank, organisation);
    double[] asked = g.byOrganisation.values().stream().mapToDouble(t -> t.asked).toArray();
    double served = g.byOrganisation.values().stream().mapToDouble(t -> t.served).sum();
    return asked.length > 1 && own.served >= SHARE_FRACTION * level(asked, served);
  }

  /**
   * Returns the level up to which every demand is served if the total is shared max-min fair;
   * infinite if the total covers all demands.
   */
  static double level(double[] demands, double total) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double left = total;
    for (int i = 0; i < sorted.length; i++) {
      double equal = left / (sorted.length - i);
      if (sorted[i] > equal) {
        return equal;
      }
      left -= sorted[i];
    }
    return Double.MAX_VALUE;
  }

  private Tokens tokens(String service, int rank, @Nullable String organisation) {
    Group g = group(service, rank);
    String name = organisation == null ? OTHERS : organisation;
    boolean known = g.byOrganisation.containsKey(name);
    boolean full = g.byOrganisation.size() >= MAX_ORGANISATIONS;
    return g.byOrganisation.computeIfAbsent(known || !full ? name : OTHERS, n -> new Tokens());
  }

  private Group group(String service, int rank) {
    long now = clock.nowMs();
    Group g = groups.computeIfAbsent(new Key(service, rank), k -> new Group());
    double factor = Math.pow(0.5, (now - g.updatedMs) / HALF_LIFE_MS);
    g.updatedMs = now;
    if (factor < 1) {
      g.byOrganisation
          .values()
          .removeIf(
              t -> {
                t.asked *= factor;
                t.served *= factor;
                return t.asked + t.served < MIN_TOKENS;
              });
    }
    return g;
  }
}

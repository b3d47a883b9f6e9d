package org.cowslipyoke.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Rendezvous;

/**
 * The default policy: probes the servers that earlier requests of the same conversation used and
 * the one with the least known load, and takes the offer with the lowest cost.
 */
public final class CostPolicy implements RoutingPolicy {

  /** Name in the settings. */
  public static final String NAME = "cost";

  /** Candidates by rendezvous hash. */
  public static final int HASHED = 3;

  private final Supplier<Limits> limits;
  private final KnownLoad load;

  /**
   * Creates the policy.
   *
   * @param limits weights in force
   * @param load loads of the last offers
   */
  public CostPolicy(Supplier<Limits> limits, KnownLoad load) {
    this.limits = limits;
    this.load = load;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Vm> probes(RoutingRequest shape, List<Vm> servers) {
    List<Vm> chosen =
        new ArrayList<>(Rendezvous.top(shape.placementKey(), servers, Vm::vm, HASHED));
    servers.stream()
        .filter(s -> !chosen.contains(s))
        .min(Comparator.comparingInt(load::of))
        .ifPresent(chosen::add);
    return chosen;
  }

  @Override
  public Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers) {
    offers.forEach(load::record);
    Limits weights = limits.get();
    return offers.stream()
        .min(Comparator.comparingDouble(c -> cost(weights, shape.promptTokens(), c.offer())));
  }

  private static double cost(Limits w, int promptTokens, Offer o) {
    int recomputed = Math.max(0, promptTokens - o.cachedTokens() - o.fetchableTokens());
    return w.costPerTtftMs() * o.ttftMs()
        + w.costPerToken() * recomputed
        + w.costPerLinkByte() * o.linkBytes();
  }
}

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
 * The default policy. It probes the servers that rendezvous hashing gives for the conversation,
 * which probably hold its blocks, and the least loaded of the others, and chooses the offer with
 * the lowest cost.
 */
public final class CostPolicy implements RoutingPolicy {

  /** Name in the settings. */
  public static final String NAME = "cost";

  /** Number of servers that are probed because of their rendezvous hash. */
  public static final int HASHED_PROBES = 3;

  private final Supplier<Limits> limits;
  private final ServerLoadCache loads;

  /**
   * Creates the policy.
   *
   * @param limits gives the cost weights in force
   * @param loads loads that the last offers stated
   */
  public CostPolicy(Supplier<Limits> limits, ServerLoadCache loads) {
    this.limits = limits;
    this.loads = loads;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Vm> probes(RoutingRequest shape, List<Vm> servers) {
    List<Vm> chosen =
        new ArrayList<>(Rendezvous.top(shape.placementKey(), servers, Vm::vm, HASHED_PROBES));
    servers.stream()
        .filter(s -> !chosen.contains(s))
        .min(Comparator.comparingInt(loads::runsAt))
        .ifPresent(chosen::add);
    return chosen;
  }

  @Override
  public Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers) {
    offers.forEach(loads::record);
    Limits weights = limits.get();
    return offers.stream()
        .min(Comparator.comparingDouble(c -> cost(weights, shape.promptTokens(), c.offer())));
  }

  private static double cost(Limits weights, int promptTokens, Offer o) {
    int recomputed = Math.max(0, promptTokens - o.cachedTokens() - o.fetchableTokens());
    return weights.costPerTtftMs() * o.ttftMs()
        + weights.costPerToken() * recomputed
        + weights.costPerLinkByte() * o.linkBytes();
  }
}

package org.cowslipyoke.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Chooses for each service between costs that depend on the load and {@link CrossingCost#FIXED}.
 *
 * <p>Keeping requests in their failure domain pays only if its servers are enough to share a queue:
 * with one or two of them the waits differ by chance more than a crossing costs, and callers gain
 * by the idlest server of all domains. Thread-safe.
 */
public final class CrossingCostBySize implements CrossingCost {

  /** Servers of a service per failure domain, on average, from which its costs follow the load. */
  public static final double MIN_SERVERS_PER_DOMAIN = 4;

  private final Supplier<FleetState> state;
  private final double minServersPerDomain;
  private final CrossingCost byLoad;
  private volatile Sizes sizes = new Sizes(FleetState.initial(0, 0), new ConcurrentHashMap<>());

  /** Decisions that hold for one state of the fleet. */
  private record Sizes(FleetState state, Map<String, Boolean> isLarge) {}

  /**
   * Creates the costs.
   *
   * @param minServersPerDomain servers of a service per failure domain from which its costs follow
   *     the load
   */
  public CrossingCostBySize(
      Supplier<FleetState> state, double minServersPerDomain, CrossingCost byLoad) {
    this.state = state;
    this.minServersPerDomain = minServersPerDomain;
    this.byLoad = byLoad;
  }

  @Override
  public double promptMs(String service, String domain, Crossing crossing) {
    return of(service).promptMs(service, domain, crossing);
  }

  @Override
  public double requests(String service, String domain, Crossing crossing) {
    return of(service).requests(service, domain, crossing);
  }

  // States are replaced as a whole; comparing their contents would cost more than the decision.
  @SuppressWarnings("ReferenceEquality")
  private CrossingCost of(String service) {
    FleetState now = state.get();
    Sizes s = sizes;
    if (s.state() != now) {
      s = new Sizes(now, new ConcurrentHashMap<>());
      sizes = s;
    }
    return s.isLarge().computeIfAbsent(service, n -> isLarge(now.available(n))) ? byLoad : FIXED;
  }

  private boolean isLarge(List<BackendServer> servers) {
    Set<String> domains = new HashSet<>();
    servers.forEach(s -> domains.add(s.failureDomain()));
    return servers.size() >= minServersPerDomain * domains.size();
  }
}

package org.cowslipyoke.routing;

import java.util.List;
import java.util.function.Supplier;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.util.Clock;

/** Creates routing policies by their names in the settings. */
public final class RoutingPolicies {

  /** Names of all policies, the default first. */
  public static final List<String> NAMES =
      List.of(CostPolicy.NAME, RoundRobinPolicy.NAME, LeastLoadedPolicy.NAME, HashOnlyPolicy.NAME);

  private RoutingPolicies() {}

  /**
   * Creates a policy.
   *
   * @param limits gives the cost weights in force
   * @throws IllegalArgumentException if there is no policy with the name
   */
  public static RoutingPolicy byName(String name, Clock clock, Supplier<Limits> limits) {
    return switch (name) {
      case CostPolicy.NAME -> new CostPolicy(limits, new ServerLoadCache(clock));
      case RoundRobinPolicy.NAME -> new RoundRobinPolicy();
      case LeastLoadedPolicy.NAME -> new LeastLoadedPolicy();
      case HashOnlyPolicy.NAME -> new HashOnlyPolicy();
      default ->
          throw new IllegalArgumentException("policy is " + name + ", must be one of " + NAMES);
    };
  }
}

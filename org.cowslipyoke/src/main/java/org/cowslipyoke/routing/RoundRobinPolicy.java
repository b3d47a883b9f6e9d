package org.cowslipyoke.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipyoke.platform.VmList.Vm;

/** Baseline: servers in turn, whatever their load and memory. */
public final class RoundRobinPolicy implements RoutingPolicy {

  /** Name in the settings. */
  public static final String NAME = "round-robin";

  private final AtomicInteger next = new AtomicInteger();

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Vm> probes(RoutingRequest shape, List<Vm> servers) {
    if (servers.isEmpty()) {
      return List.of();
    }
    return List.of(servers.get(Math.floorMod(next.getAndIncrement(), servers.size())));
  }

  @Override
  public Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers) {
    return offers.stream().findFirst();
  }
}

package org.cowslipyoke.routing;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Rendezvous;

/** Baseline: the first server by rendezvous hash, whatever its load. */
public final class HashOnlyPolicy implements RoutingPolicy {

  /** Name in the settings. */
  public static final String NAME = "hash-only";

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Vm> probes(RoutingRequest shape, List<Vm> servers) {
    return Rendezvous.top(shape.placementKey(), servers, Vm::vm, 1);
  }

  @Override
  public Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers) {
    return offers.stream().findFirst();
  }
}

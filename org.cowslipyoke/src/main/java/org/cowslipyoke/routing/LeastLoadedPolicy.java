package org.cowslipyoke.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipyoke.platform.VmList.Vm;

/** Baseline: random candidates, of which the one with the fewest runs is taken. */
public final class LeastLoadedPolicy implements RoutingPolicy {

  /** Name in the settings. */
  public static final String NAME = "least-loaded";

  /** Servers probed; as many as {@link CostPolicy} probes. */
  public static final int PROBES = CostPolicy.HASHED + 1;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Vm> probes(RoutingRequest shape, List<Vm> servers) {
    List<Vm> shuffled = new ArrayList<>(servers);
    Collections.shuffle(shuffled, ThreadLocalRandom.current());
    return List.copyOf(shuffled.subList(0, Math.min(PROBES, shuffled.size())));
  }

  @Override
  public Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers) {
    return offers.stream()
        .min(Comparator.comparingInt(c -> c.offer().queued() + c.offer().active()));
  }
}

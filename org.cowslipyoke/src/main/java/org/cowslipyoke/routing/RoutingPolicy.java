package org.cowslipyoke.routing;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.platform.VmList.Vm;

/**
 * Chooses which servers to probe and which offer to take. Implementations are thread-safe and hold
 * no state of a single request.
 */
public interface RoutingPolicy {

  /** Returns the name used by settings and the bench. */
  String name();

  /**
   * Returns the servers to probe together, best first.
   *
   * @param shape the request
   * @param servers live servers of the model that are not in an excluded failure domain and were
   *     not tried by this request
   */
  List<Vm> probes(RoutingRequest shape, List<Vm> servers);

  /** Returns the candidate to start on; empty if none is acceptable. */
  Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers);
}

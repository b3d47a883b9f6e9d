package org.cowslipyoke.routing;

import java.util.List;
import java.util.Optional;
import org.cowslipyoke.platform.VmList.Vm;

/**
 * Chooses the servers to probe and the offer to accept. Implementations are thread-safe and hold no
 * state of a single request.
 */
public interface RoutingPolicy {

  /** Returns the policy's name in the settings and in the benchmark's options. */
  String name();

  /**
   * Returns the servers to probe in one round, best first.
   *
   * @param shape properties of the request
   * @param servers live servers of the model that are not in an excluded failure domain and were
   *     not tried by this request
   */
  List<Vm> probes(RoutingRequest shape, List<Vm> servers);

  /** Returns the candidate on which to start the request; empty if none is acceptable. */
  Optional<Candidate> choose(RoutingRequest shape, List<Candidate> offers);
}

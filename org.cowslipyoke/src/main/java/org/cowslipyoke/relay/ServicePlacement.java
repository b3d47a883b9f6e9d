package org.cowslipyoke.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places calls of plain services: the server with the least work of this process, where a recent
 * failure weighs as much as several calls. Answers for servers that fail or slow down while their
 * entry in the list looks sound.
 */
public final class ServicePlacement {

  /** Calls in flight that one recent failure weighs as much as. */
  static final double TROUBLE_WEIGHT = 4;

  /** Part of a call in flight that a server in another failure domain weighs more. */
  static final double REMOTE_WEIGHT = 0.3;

  private final ServerLoads loads;
  private final String ownDomain;
  private final RandomGenerator random;

  /** Creates the placement of an entry in the given failure domain. */
  public ServicePlacement(ServerLoads loads, String ownDomain, RandomGenerator random) {
    this.loads = loads;
    this.ownDomain = ownDomain;
    this.random = random;
  }

  /** Chooses a server, or none if there is no candidate. */
  public Optional<BackendServer> choose(List<BackendServer> candidates) {
    record Weighed(BackendServer server, double cost) {}

    return candidates.stream()
        .map(s -> new Weighed(s, cost(s)))
        .min(Comparator.comparingDouble(Weighed::cost))
        .map(Weighed::server);
  }

  private double cost(BackendServer s) {
    ServerLoad l = loads.of(s);
    double remote = s.failureDomain().equals(ownDomain) ? 0 : REMOTE_WEIGHT;
    double full = l.isFull() ? TROUBLE_WEIGHT : 0;
    double jitter = random.nextDouble() * 0.2;
    double slowness = 1 + l.responseMs() / 100;
    return (1 + l.inFlight()) * slowness
        + TROUBLE_WEIGHT * l.recentTrouble()
        + remote
        + full
        + jitter;
  }
}

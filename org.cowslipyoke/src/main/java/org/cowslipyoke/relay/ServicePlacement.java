package org.cowslipyoke.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cowslipyoke.relay.CrossingCost.Crossing;

/**
 * Places requests of services that run no model on the server with the lowest load from this
 * process. A recent failure counts as much as several requests, so that servers are avoided that
 * fail or slow down while the server list still shows them as healthy.
 */
public final class ServicePlacement {

  /** Number of requests in flight that one recent failure counts as. */
  static final double FAILURE_WEIGHT = 4;

  /** Additional cost of a server in another failure domain, in requests in flight. */
  static final double REMOTE_WEIGHT = 0.3;

  /** Expected size of a request and its response together, in bytes. */
  static final long REQUEST_BYTES = 2_000;

  private final ServerLoads loads;
  private final String ownDomain;
  private final CrossingCost crossing;
  private final RandomGenerator random;

  /** Creates the placement for an entry in the given failure domain. */
  public ServicePlacement(
      ServerLoads loads, String ownDomain, CrossingCost crossing, RandomGenerator random) {
    this.loads = loads;
    this.ownDomain = ownDomain;
    this.crossing = crossing;
    this.random = random;
  }

  /** Chooses a server; returns empty if there is no candidate. */
  public Optional<BackendServer> choose(List<BackendServer> candidates) {
    record Scored(BackendServer server, double cost) {}

    Crossing c = new Crossing(REQUEST_BYTES, random.nextDouble());
    return candidates.stream()
        .map(s -> new Scored(s, cost(s, c)))
        .min(Comparator.comparingDouble(Scored::cost))
        .map(Scored::server);
  }

  private double cost(BackendServer s, Crossing c) {
    ServerLoad l = loads.of(s);
    String domain = s.failureDomain();
    double remote = domain.equals(ownDomain) ? 0 : crossing.requests(s.group(), domain, c);
    double full = l.isFull() ? FAILURE_WEIGHT : 0;
    double jitter = random.nextDouble() * 0.2;
    double slowness = 1 + l.responseMs() / 100;
    return (1 + l.inFlight()) * slowness
        + FAILURE_WEIGHT * l.recentFailures()
        + remote
        + full
        + jitter;
  }
}

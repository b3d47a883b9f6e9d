package org.cowslipyoke.relay;

import java.util.List;
import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Work of all entries at the servers of a group: the own, what the others report, and for entries
 * without a fresh report as much as this one has, spread over all servers.
 */
final class FleetLoad {

  private final ServerLoads own;
  private final PeerLoads peers;
  private final Load unreported;

  private FleetLoad(ServerLoads own, PeerLoads peers, Load unreported) {
    this.own = own;
    this.peers = peers;
    this.unreported = unreported;
  }

  /**
   * Collects the work at a group.
   *
   * @param entries number of live entries, this one included
   */
  static FleetLoad of(ServerLoads own, PeerLoads peers, List<BackendServer> servers, int entries) {
    int silent = Math.max(0, entries - 1 - peers.fresh());
    if (silent == 0 || servers.isEmpty()) {
      return new FleetLoad(own, peers, Load.NONE);
    }
    Load sum = Load.NONE;
    for (BackendServer s : servers) {
      sum = sum.plus(own.of(s).snapshot());
    }
    double part = (double) silent / servers.size();
    Load each =
        new Load(
            (int) Math.round(sum.inFlight() * part),
            Math.round(sum.prefillTokens() * part),
            Math.round(sum.residentTokens() * part));
    return new FleetLoad(own, peers, each);
  }

  /** Returns the work at a server. */
  Load at(BackendServer server) {
    return own.of(server).snapshot().plus(peers.loadAt(server)).plus(unreported);
  }
}

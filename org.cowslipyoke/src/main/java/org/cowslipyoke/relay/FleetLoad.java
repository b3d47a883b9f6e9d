package org.cowslipyoke.relay;

import java.util.List;
import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Load that all entries put on the servers of a group: the load of this entry, the loads reported
 * by other entries, and an estimate for entries without a fresh report. Each of those is assumed to
 * have as much load as this entry, spread evenly over all servers.
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
   * Collects the load of a group.
   *
   * @param entries number of live entries, including this one
   */
  static FleetLoad of(ServerLoads own, PeerLoads peers, List<BackendServer> servers, int entries) {
    int silent = Math.max(0, entries - 1 - peers.freshCount());
    if (silent == 0 || servers.isEmpty()) {
      return new FleetLoad(own, peers, Load.NONE);
    }
    Load sum = Load.NONE;
    for (BackendServer s : servers) {
      sum = sum.plus(own.of(s).snapshot());
    }
    Load each = sum.times((double) silent / servers.size());
    return new FleetLoad(own, peers, each);
  }

  /** Returns the load of a server. */
  Load loadAt(BackendServer server) {
    return own.of(server).snapshot().plus(peers.loadAt(server)).plus(unreported);
  }
}

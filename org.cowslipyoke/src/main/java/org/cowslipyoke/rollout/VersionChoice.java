package org.cowslipyoke.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;

/** Selects servers by the version of their software. */
final class VersionChoice {

  /** Time for which the same servers get the canary requests, in milliseconds. */
  static final long TURN_MS = 1_000;

  private VersionChoice() {}

  static List<BackendServer> without(List<BackendServer> servers, String version) {
    return servers.stream().filter(s -> !s.software().equals(version)).toList();
  }

  static List<BackendServer> only(List<BackendServer> servers, String version) {
    return servers.stream().filter(s -> s.software().equals(version)).toList();
  }

  /** Returns the servers of versions that no earlier rollout has rejected. */
  static List<BackendServer> notRejected(List<BackendServer> servers, RolloutState s) {
    return servers.stream().filter(x -> !s.rejected().contains(x.software())).toList();
  }

  /** Returns the servers of versions that ran before the order. */
  static List<BackendServer> old(List<BackendServer> servers, RolloutState s) {
    return servers.stream().filter(x -> isOld(x, s)).toList();
  }

  /** Returns whether a server's version ran before the order; one that states none did. */
  static boolean isOld(BackendServer x, RolloutState s) {
    return s.old().contains(x.software()) || x.software().isEmpty();
  }

  /** Returns whether all listed servers of a service that may get work have a version. */
  static boolean isOnly(FleetState state, String service, String version) {
    return state.available(service).stream().allMatch(s -> s.software().equals(version));
  }

  /** Returns the candidates after the end of a rollout. */
  static List<BackendServer> afterRollout(
      RolloutState s, FleetState state, List<BackendServer> candidates) {
    if (s.step() == RolloutStep.ROLLED_BACK) {
      return without(candidates, s.target());
    }
    List<BackendServer> rest =
        candidates.stream().filter(c -> !s.old().contains(c.software())).toList();
    boolean onlyOld =
        state.available(s.service()).stream().allMatch(c -> s.old().contains(c.software()));
    return rest.isEmpty() && onlyOld ? candidates : rest;
  }

  /**
   * Returns the servers of the target that get canary requests now: as many as give each of them
   * about the load that it has with all requests, so that a fault under load shows. They change
   * every {@link #TURN_MS}, so that a bad server can be told from a bad version.
   *
   * @param failing incarnations that are left out while there are others, so that the next one
   *     shows soon whether the version fails or only a server
   * @param wallMs wall time, by which the entries choose about the same
   */
  static List<BackendServer> canaries(
      List<BackendServer> target,
      FleetState state,
      RolloutState s,
      Set<String> failing,
      long wallMs) {
    List<BackendServer> all = only(state.available(s.service()), s.target());
    List<BackendServer> listed = new ArrayList<>(all);
    listed.removeIf(x -> failing.contains(x.incarnation()));
    if (listed.isEmpty()) {
      listed.addAll(all);
    }
    listed.sort(Comparator.comparing(BackendServer::incarnation));
    // One server of each failure domain in turn, so that a domain can be told from a version.
    Map<String, Integer> inDomain = new HashMap<>();
    Map<String, Integer> round = new HashMap<>();
    for (BackendServer x : listed) {
      round.put(x.incarnation(), inDomain.merge(x.failureDomain(), 1, Integer::sum));
    }
    listed.sort(Comparator.comparingInt(x -> round.getOrDefault(x.incarnation(), 0)));
    int count = Math.max(1, (int) Math.round(s.share() * listed.size()));
    int first = (int) Math.floorMod(wallMs / TURN_MS * count, (long) listed.size());
    List<BackendServer> chosen = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      BackendServer x = listed.get((first + i) % listed.size());
      if (target.contains(x)) {
        chosen.add(x);
      }
    }
    return chosen.isEmpty() ? target : chosen;
  }
}

package org.cowslipyoke.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What this process believes, replaced as one value.
 *
 * @param desired desired state in force, null before the first reading
 * @param domainsOut failure domains whose servers get no new work
 * @param targets weights by model
 * @param servers servers by id
 * @param entries number of entries that share limits of the fleet, at least 1
 * @param operatorReadMs monotonic time at which the last reading of desired state, domains and
 *     targets was sent
 * @param operatorReadWallMs the same by the wall clock
 * @param serversReadMs monotonic time at which the last reading of the servers was sent
 */
public record FleetState(
    @Nullable DesiredState desired,
    Set<String> domainsOut,
    Map<String, WeightTarget> targets,
    Map<String, BackendServer> servers,
    int entries,
    long operatorReadMs,
    long operatorReadWallMs,
    long serversReadMs) {

  /** Returns the state of a process that has read nothing. */
  public static FleetState unknown(long nowMs, long wallMs) {
    return new FleetState(null, Set.of(), Map.of(), Map.of(), 1, nowMs, wallMs, nowMs);
  }

  /** Returns whether requests can be placed. */
  public boolean isLoaded() {
    return desired != null && !servers.isEmpty();
  }

  /** Returns the servers of a group that may get new work, in order of their ids. */
  public List<BackendServer> available(String group) {
    return servers.values().stream()
        .filter(s -> s.group().equals(group) && !s.leaving())
        .filter(s -> !domainsOut.contains(s.failureDomain()))
        .sorted(Comparator.comparing(BackendServer::id))
        .toList();
  }

  /** Returns this state with another reading of what operators wrote. */
  public FleetState withOperator(
      DesiredState d, Set<String> out, Map<String, WeightTarget> t, long readMs, long wallMs) {
    return new FleetState(d, out, t, servers, entries, readMs, wallMs, serversReadMs);
  }

  /** Returns this state with another reading of the servers. */
  public FleetState withServers(Map<String, BackendServer> s, long readMs) {
    return new FleetState(
        desired, domainsOut, targets, s, entries, operatorReadMs, operatorReadWallMs, readMs);
  }

  /** Returns this state with another number of entries. */
  public FleetState withEntries(int n) {
    return new FleetState(
        desired,
        domainsOut,
        targets,
        servers,
        Math.max(1, n),
        operatorReadMs,
        operatorReadWallMs,
        serversReadMs);
  }
}

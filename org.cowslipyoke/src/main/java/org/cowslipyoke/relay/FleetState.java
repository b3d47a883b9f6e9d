package org.cowslipyoke.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Immutable snapshot of the configuration and the servers as this process last read them.
 *
 * @param desired desired state in force, null before the first read
 * @param domainsOut failure domains whose servers get no new work
 * @param targets target weights by model
 * @param servers servers by id
 * @param entries number of live entries, which share the fleet's limits; at least 1
 * @param operatorConfigReadMs monotonic time in milliseconds at which the last read of desired
 *     state, domains and targets was sent
 * @param operatorConfigReadWallMs wall time of the same read in Unix milliseconds
 * @param serversReadMs monotonic time in milliseconds at which the last read of the server list was
 *     sent
 */
public record FleetState(
    @Nullable DesiredState desired,
    Set<String> domainsOut,
    Map<String, WeightTarget> targets,
    Map<String, BackendServer> servers,
    int entries,
    long operatorConfigReadMs,
    long operatorConfigReadWallMs,
    long serversReadMs) {

  /** Returns the state of a process that has not read anything yet. */
  public static FleetState initial(long nowMs, long wallMs) {
    return new FleetState(null, Set.of(), Map.of(), Map.of(), 1, nowMs, wallMs, nowMs);
  }

  /** Returns whether requests can be placed. */
  public boolean isLoaded() {
    return desired != null && !servers.isEmpty();
  }

  /** Returns the servers of a group that may get new work, sorted by id. */
  public List<BackendServer> available(String group) {
    return servers.values().stream()
        .filter(s -> isAvailable(s, group))
        .sorted(Comparator.comparing(BackendServer::id))
        .toList();
  }

  /** Returns the software versions of the servers of a group that may get new work. */
  public Set<String> versions(String group) {
    return available(group).stream().map(BackendServer::software).collect(Collectors.toSet());
  }

  /** Returns whether a server of a group that may get new work fulfils a condition. */
  public boolean anyAvailable(String group, Predicate<BackendServer> condition) {
    return servers.values().stream().anyMatch(s -> isAvailable(s, group) && condition.test(s));
  }

  private boolean isAvailable(BackendServer s, String group) {
    return s.group().equals(group) && !s.leaving() && !domainsOut.contains(s.failureDomain());
  }

  /** Returns a copy with a new read of the operators' configuration. */
  public FleetState withOperatorConfig(
      DesiredState d, Set<String> out, Map<String, WeightTarget> t, long readMs, long wallMs) {
    return new FleetState(d, out, t, servers, entries, readMs, wallMs, serversReadMs);
  }

  /** Returns a copy with a new read of the server list. */
  public FleetState withServers(Map<String, BackendServer> s, long readMs) {
    return new FleetState(
        desired,
        domainsOut,
        targets,
        s,
        entries,
        operatorConfigReadMs,
        operatorConfigReadWallMs,
        readMs);
  }

  /** Returns a copy with another number of entries. */
  public FleetState withEntries(int n) {
    return new FleetState(
        desired,
        domainsOut,
        targets,
        servers,
        Math.max(1, n),
        operatorConfigReadMs,
        operatorConfigReadWallMs,
        serversReadMs);
  }
}

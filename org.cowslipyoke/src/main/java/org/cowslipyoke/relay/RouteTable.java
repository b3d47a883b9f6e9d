package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Routes by host and longest path prefix. Immutable. */
public final class RouteTable {

  private final Map<String, List<Route>> byHost;
  private final Map<String, Long> shortestObjectives = new HashMap<>();
  private final Map<String, Long> longestObjectiveMs = new HashMap<>();
  private final Map<String, Long> shortestGapMs = new HashMap<>();

  private final Map<String, Long> longestResumableMs = new HashMap<>();

  private final Set<String> competing;

  /** Creates a table. */
  public RouteTable(List<Route> routes) {
    Map<String, List<Route>> map = new HashMap<>();
    for (Route r : routes) {
      map.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>()).add(r);
      for (Route.Share s : r.shares()) {
        longestObjectiveMs.merge(s.service(), r.objectiveMs(), Math::max);
        if (r.kind() == RequestKind.STREAM && r.resumable()) {
          longestResumableMs.merge(s.service(), r.timeoutMs(), Math::max);
        }
        if (r.gapMs() > 0) {
          shortestGapMs.merge(s.service(), r.gapMs(), Math::min);
        }
        if (r.objectiveMs() > 0) {
          shortestObjectives.merge(s.service(), r.objectiveMs(), Math::min);
        }
      }
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
    map.values().forEach(l -> l.sort(longestFirst));
    this.byHost = map;
    this.competing = findCompeting(routes);
  }

  /**
   * Finds the route of a request.
   *
   * @param host value of the Host header; a port in it is ignored
   * @param path path without the query, as received
   */
  public Optional<Route> find(String host, String path) {
    int colon = host.indexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    return byHost.getOrDefault(name, List.of()).stream()
        .filter(r -> path.startsWith(r.prefix()))
        .findFirst();
  }

  /** Returns the longest time-out of a service's resumable streams in ms, 0 if it has none. */
  public long longestResumableMs(String service) {
    return longestResumableMs.getOrDefault(service, 0L);
  }

  /** Returns the services with resumable streams. */
  public Set<String> resumableServices() {
    return Set.copyOf(longestResumableMs.keySet());
  }

  /** Returns the shortest objective of the routes to a service, empty if none has one. */
  public OptionalLong shortestObjectiveMs(String service) {
    Long ms = shortestObjectives.get(service);
    return ms == null ? OptionalLong.empty() : OptionalLong.of(ms);
  }

  /**
   * Returns the longest objective of the routes to a service, in milliseconds; 0 if none has one.
   */
  public long longestObjectiveMs(String service) {
    return longestObjectiveMs.getOrDefault(service, 0L);
  }

  /**
   * Returns the shortest of the longest pauses that the routes to a service allow between events,
   * in milliseconds; 0 if none has a target.
   */
  public long shortestGapMs(String service) {
    return shortestGapMs.getOrDefault(service, 0L);
  }

  /**
   * Returns whether prompts of a service compete by urgency: some routes are more urgent than
   * others and have a much shorter objective, so that they are late behind work that is still in
   * time.
   */
  public boolean isCompeting(String service) {
    return competing.contains(service);
  }

  private Set<String> findCompeting(List<Route> routes) {
    Map<String, List<Route>> byService = new HashMap<>();
    for (Route r : routes) {
      r.shares()
          .forEach(s -> byService.computeIfAbsent(s.service(), k -> new ArrayList<>()).add(r));
    }
    byService.values().removeIf(l -> l.stream().noneMatch(a -> isLateBehind(a, l)));
    return Set.copyOf(byService.keySet());
  }

  private static boolean isLateBehind(Route urgent, List<Route> others) {
    return urgent.objectiveMs() > 0
        && others.stream()
            .anyMatch(
                o ->
                    urgent.priority() <= o.priority()
                        && UrgencyRank.SHORT_FACTOR * urgent.objectiveMs() <= o.objectiveMs());
  }

  /** Returns the number of routes. */
  public int size() {
    return byHost.values().stream().mapToInt(List::size).sum();
  }
}

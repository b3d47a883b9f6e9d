package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cowslipyoke.util.Clock;

/**
 * Rolling update of weights: decides which servers are ordered to load new weights next. Only a
 * fraction of the servers loads at a time, so that the others keep serving and the weight store is
 * not slowed down by too many concurrent loads. Not thread-safe.
 */
public final class WeightRollout {

  /**
   * Minimum number of concurrent loads per group; the weight store handles two without slowing
   * down.
   */
  static final int MIN_AT_ONCE = 2;

  /** Fraction of a group's servers that may load concurrently. */
  static final double FRACTION_AT_ONCE = 0.25;

  /**
   * Time after which an ordered load that has not taken effect is ordered again, in milliseconds.
   * Above the time for running requests to end and for a load concurrent with others.
   */
  static final long LOAD_MAX_MS = 7_000;

  /**
   * Time after which an order is repeated to a server that was carrying out another one, in
   * milliseconds.
   */
  static final long BUSY_MS = 400;

  /**
   * An order to a server to load weights.
   *
   * @param version version to load
   */
  public record Order(BackendServer server, String model, int version) {}

  private record Ordered(String model, int version, long atMs) {}

  private record Subject(String incarnation, String model) {}

  private final Clock clock;
  private final ServerLoads loads;
  private final Map<String, Ordered> ordered = new HashMap<>();

  /**
   * Creates a rollout without outstanding orders.
   *
   * @param loads weights versions that servers reported since their entry in the server list
   */
  public WeightRollout(Clock clock, ServerLoads loads) {
    this.clock = clock;
    this.loads = loads;
  }

  /** Returns the orders to give now, one at a time to each server. */
  public List<Order> nextOrders(FleetState s) {
    List<Order> behind = outstandingOrders(s);
    Set<Subject> subjects =
        behind.stream()
            .map(o -> new Subject(o.server().incarnation(), o.model()))
            .collect(Collectors.toSet());
    ordered
        .entrySet()
        .removeIf(e -> !subjects.contains(new Subject(e.getKey(), e.getValue().model())));
    Map<String, Integer> loading = new HashMap<>();
    Set<String> occupied = new HashSet<>();
    for (Order o : behind) {
      if (isInProgress(o) && occupied.add(o.server().incarnation())) {
        loading.merge(o.server().group(), 1, Integer::sum);
      }
    }
    List<Order> next = new ArrayList<>();
    for (Order o : behind) {
      String group = o.server().group();
      if (loading.getOrDefault(group, 0) < maxConcurrentLoads(s, group)
          && occupied.add(o.server().incarnation())) {
        loading.merge(group, 1, Integer::sum);
        next.add(o);
      }
    }
    return next;
  }

  private boolean isInProgress(Order o) {
    Ordered before = ordered.get(o.server().incarnation());
    return before != null
        && before.model().equals(o.model())
        && before.version() == o.version()
        && clock.nowMs() - before.atMs() < LOAD_MAX_MS;
  }

  /** Records that a server accepted an order or may have accepted it. */
  public void recordOrdered(Order o) {
    ordered.put(o.server().incarnation(), new Ordered(o.model(), o.version(), clock.nowMs()));
  }

  /**
   * Records that a server is carrying out another order; the order is repeated after {@link
   * #BUSY_MS}.
   */
  public void recordBusy(Order o) {
    long atMs = clock.nowMs() - LOAD_MAX_MS + BUSY_MS;
    ordered.put(o.server().incarnation(), new Ordered(o.model(), o.version(), atMs));
  }

  private static int maxConcurrentLoads(FleetState s, String group) {
    long servers = s.servers().values().stream().filter(x -> x.group().equals(group)).count();
    return Math.max(MIN_AT_ONCE, (int) Math.round(FRACTION_AT_ONCE * servers));
  }

  /**
   * Returns an order for each server whose weights are older than the target. Servers with the
   * oldest weights come first, because those weights become unusable first.
   */
  public List<Order> outstandingOrders(FleetState s) {
    record Behind(Order order, int has) {}

    List<Behind> behind = new ArrayList<>();
    for (BackendServer server : s.servers().values()) {
      for (WeightTarget t : s.targets().values()) {
        int has = loads.weights(server, t.model());
        if (has > 0 && has < t.version() && !server.leaving()) {
          behind.add(new Behind(new Order(server, t.model(), t.version()), has));
        }
      }
    }
    return behind.stream()
        .sorted(Comparator.comparing(Behind::has).thenComparing(b -> b.order().server().id()))
        .map(Behind::order)
        .toList();
  }
}

package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.util.Clock;

/**
 * Decides which servers are ordered to load new weights next. Answers for weights that are named
 * under load: a part of the servers loads at a time, so that the rest serves and the weight store
 * is not slowed by more loads than it bears. Not thread-safe.
 */
public final class WeightRollout {

  /** Servers that may load at once whatever their number; the weight store bears two. */
  static final int MIN_AT_ONCE = 2;

  /** Part of the servers that may load at once. */
  static final double PART_AT_ONCE = 0.25;

  /**
   * Time after which a load that was ordered and did not show is ordered again, in milliseconds.
   * Above the time for running requests to end and for a load beside others.
   */
  static final long LOAD_MAX_MS = 7_000;

  /** Time after which a server that carried out another order is asked again, in milliseconds. */
  static final long BUSY_MS = 400;

  /**
   * An order that is due.
   *
   * @param version version to load
   */
  public record Order(BackendServer server, String model, int version) {}

  private record Ordered(int version, long atMs) {}

  private final Clock clock;
  private final ServerLoads loads;
  private final Map<String, Ordered> ordered = new HashMap<>();

  /**
   * Creates the decision.
   *
   * @param loads what servers stated of their weights since their entry in the list
   */
  public WeightRollout(Clock clock, ServerLoads loads) {
    this.clock = clock;
    this.loads = loads;
  }

  /** Returns the orders to give now. */
  public List<Order> nextOrders(FleetState s) {
    List<Order> behind = outstandingOrders(s);
    ordered.keySet().retainAll(behind.stream().map(o -> o.server().incarnation()).toList());
    Map<String, Integer> loading = new HashMap<>();
    List<Order> waiting = new ArrayList<>();
    for (Order o : behind) {
      Ordered before = ordered.get(o.server().incarnation());
      boolean underWay =
          before != null
              && before.version() == o.version()
              && clock.nowMs() - before.atMs() < LOAD_MAX_MS;
      if (underWay) {
        loading.merge(o.server().group(), 1, Integer::sum);
      } else {
        waiting.add(o);
      }
    }
    List<Order> next = new ArrayList<>();
    for (Order o : waiting) {
      String group = o.server().group();
      if (loading.getOrDefault(group, 0) < atOnce(s, group)) {
        loading.merge(group, 1, Integer::sum);
        next.add(o);
      }
    }
    return next;
  }

  /** Records that a server took an order, or that it may have. */
  public void recordOrdered(Order o) {
    ordered.put(o.server().incarnation(), new Ordered(o.version(), clock.nowMs()));
  }

  /** Records that a server carries out another order; it is asked again after {@link #BUSY_MS}. */
  public void recordBusy(Order o) {
    long atMs = clock.nowMs() - LOAD_MAX_MS + BUSY_MS;
    ordered.put(o.server().incarnation(), new Ordered(o.version(), atMs));
  }

  private static int atOnce(FleetState s, String group) {
    long servers = s.servers().values().stream().filter(x -> x.group().equals(group)).count();
    return Math.max(MIN_AT_ONCE, (int) Math.round(PART_AT_ONCE * servers));
  }

  /**
   * Returns an order for each server that has older weights than were named, those with the oldest
   * weights first: their time to be used ends first.
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

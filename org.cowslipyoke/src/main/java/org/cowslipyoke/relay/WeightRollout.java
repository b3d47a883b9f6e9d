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

  /**
   * An order that is due.
   *
   * @param version version to load
   */
  public record Order(BackendServer server, String model, int version) {}

  private record Ordered(int version, long atMs) {}

  private final Clock clock;
  private final Map<String, Ordered> ordered = new HashMap<>();

  /** Creates the decision. */
  public WeightRollout(Clock clock) {
    this.clock = clock;
  }

  /** Returns whether a server that takes part has older weights than were named. */
  public static boolean isDue(FleetState s) {
    return !behind(s).isEmpty();
  }

  /** Returns the orders to give now. */
  public List<Order> next(FleetState s) {
    List<Order> behind = behind(s);
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

  /** Records that a server took an order, or that it is loading already. */
  public void underWay(Order o) {
    ordered.put(o.server().incarnation(), new Ordered(o.version(), clock.nowMs()));
  }

  private static int atOnce(FleetState s, String group) {
    long servers = s.servers().values().stream().filter(x -> x.group().equals(group)).count();
    return Math.max(MIN_AT_ONCE, (int) Math.round(PART_AT_ONCE * servers));
  }

  private static List<Order> behind(FleetState s) {
    List<Order> behind = new ArrayList<>();
    for (BackendServer server : s.servers().values()) {
      for (WeightTarget t : s.targets().values()) {
        Integer has = server.weights(t.model());
        if (has != null && has < t.version() && !server.leaving()) {
          behind.add(new Order(server, t.model(), t.version()));
        }
      }
    }
    behind.sort(Comparator.comparing(o -> o.server().id()));
    return behind;
  }
}

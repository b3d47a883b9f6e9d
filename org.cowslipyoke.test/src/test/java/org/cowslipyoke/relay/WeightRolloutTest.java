package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.WeightRollout.Order;
import org.junit.jupiter.api.Test;

class WeightRolloutTest {

  private final RelayFixture fixture = new RelayFixture();
  private final WeightRollout rollout = new WeightRollout(fixture.clock);

  private FleetState state(int target, int... weights) {
    BackendServer[] servers = new BackendServer[weights.length];
    for (int i = 0; i < weights.length; i++) {
      servers[i] = RelayFixture.server("s" + i, weights[i]);
    }
    fixture.load(target, Map.of(RelayFixture.MODEL, target), servers);
    return fixture.state.get();
  }

  private List<Order> take(FleetState s) {
    List<Order> orders = rollout.next(s, o -> false);
    orders.forEach(rollout::underWay);
    return orders;
  }

  @Test
  void twoServersLoadTogether() {
    FleetState s = state(2, 1, 1, 1, 1, 1, 1);
    assertEquals(2, take(s).size());
    assertTrue(take(s).isEmpty());
    assertEquals(2, take(state(2, 2, 2, 1, 1, 1, 1)).size());
    assertFalse(WeightRollout.isDue(state(2, 2, 2, 2, 2, 2, 2)));
  }

  /**
   * Guards against servers whose weights are two versions behind being left for last, after the
   * time in which they may be used has passed.
   */
  @Test
  void oldestWeightsAreReplacedFirst() {
    List<Order> orders = take(state(3, 2, 2, 1, 1));
    assertEquals(List.of("s2", "s3"), orders.stream().map(o -> o.server().id()).toList());
  }

  /** Guards against a load of an older version that holds back a newer one. */
  @Test
  void newerVersionIsOrderedAtOnce() {
    take(state(2, 1, 1, 1));
    List<Order> orders = take(state(3, 1, 1, 1));
    assertEquals(2, orders.size());
    assertEquals(3, orders.get(0).version());
  }

  /** Guards against an order that got lost: it is given again. */
  @Test
  void orderThatDidNotShowIsRepeated() {
    FleetState s = state(2, 1);
    assertEquals(1, take(s).size());
    fixture.clock.advance(WeightRollout.LOAD_MAX_MS - 1);
    assertTrue(take(s).isEmpty());
    fixture.clock.advance(1);
    assertEquals(1, take(s).size());
  }

  /** Guards against servers that were busy with another order and are forgotten for a long time. */
  @Test
  void busyServerIsAskedAgainSoon() {
    FleetState s = state(2, 1);
    rollout.next(s, o -> false).forEach(rollout::busy);
    assertTrue(rollout.next(s, o -> false).isEmpty());
    fixture.clock.advance(WeightRollout.BUSY_MS);
    assertEquals(1, rollout.next(s, o -> false).size());
  }

  /** A report is newer than the server's entry in the list. */
  @Test
  void reportedLoadMakesRoomForTheNext() {
    FleetState s = state(2, 1, 1, 1, 1);
    take(s);
    List<Order> next = rollout.next(s, o -> List.of("s0", "s1").contains(o.server().id()));
    assertEquals(List.of("s2", "s3"), next.stream().map(o -> o.server().id()).toList());
  }
}

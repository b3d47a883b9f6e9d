package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.WeightRollout.Order;
import org.junit.jupiter.api.Test;

class WeightRolloutTest {

  private final RelayFixture fixture = new RelayFixture();
  private final WeightRollout rollout = new WeightRollout(fixture.clock, fixture.loads);

  private FleetState state(int target, int... weights) {
    BackendServer[] servers = new BackendServer[weights.length];
    for (int i = 0; i < weights.length; i++) {
      servers[i] = RelayFixture.server("s" + i, weights[i]);
    }
    fixture.load(target, Map.of(RelayFixture.MODEL, target), servers);
    return fixture.state.get();
  }

  private List<Order> take(FleetState s) {
    List<Order> orders = rollout.nextOrders(s);
    orders.forEach(rollout::recordOrdered);
    return orders;
  }

  @Test
  void twoServersLoadTogether() {
    FleetState s = state(2, 1, 1, 1, 1, 1, 1);
    assertEquals(2, take(s).size());
    assertTrue(take(s).isEmpty());
    assertEquals(2, take(state(2, 2, 2, 1, 1, 1, 1)).size());
    assertTrue(rollout.outstandingOrders(state(2, 2, 2, 2, 2, 2, 2)).isEmpty());
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
    rollout.nextOrders(s).forEach(rollout::recordBusy);
    assertTrue(rollout.nextOrders(s).isEmpty());
    fixture.clock.advance(WeightRollout.BUSY_MS);
    assertEquals(1, rollout.nextOrders(s).size());
  }

  private static List<String> ids(List<Order> orders) {
    return orders.stream().map(o -> o.server().id()).toList();
  }

  private void stated(FleetState s, String id, int version) {
    fixture.loads.of(requireNonNull(s.servers().get(id))).recordWeights(version);
  }

  /** A report is newer than the server's entry in the list. */
  @Test
  void reportedLoadMakesRoomForTheNext() {
    FleetState s = state(2, 1, 1, 1, 1);
    take(s);
    stated(s, "s0", 2);
    stated(s, "s1", 2);
    assertEquals(List.of("s2", "s3"), ids(rollout.nextOrders(s)));
    stated(s, "s2", 2);
    stated(s, "s3", 2);
    assertTrue(rollout.outstandingOrders(s).isEmpty());
  }

  /**
   * Guards against a server that loaded the version before a moment ago being ordered to the named
   * one before a server that is two versions behind: the list lags by a second.
   */
  @Test
  void versionsThatServersStatedDecideTheOrderOfLoads() {
    FleetState s = state(3, 1, 1, 1, 1);
    stated(s, "s0", 2);
    stated(s, "s1", 2);
    assertEquals(List.of("s2", "s3"), ids(rollout.nextOrders(s)));
    assertEquals(List.of("s2", "s3", "s0", "s1"), ids(rollout.outstandingOrders(s)));
  }

  /** Guards against a list that is newer than the last statement being passed over. */
  @Test
  void newerEntryInTheListCounts() {
    FleetState s = state(3, 1, 2, 2);
    stated(s, "s0", 2);
    stated(s, "s1", 1);
    s = state(3, 2, 3, 2);
    assertEquals(List.of("s0", "s2"), ids(rollout.outstandingOrders(s)));
  }

  /**
   * Guards against statements of a server's last incarnation: it may have started again with the
   * weights that it had before its load ended.
   */
  @Test
  void restartedServerIsKnownByTheListAlone() {
    FleetState s = state(3, 1, 2);
    stated(s, "s0", 3);
    assertEquals(List.of("s1"), ids(rollout.outstandingOrders(s)));
    fixture.load(
        3,
        Map.of(RelayFixture.MODEL, 3),
        new BackendServer(
            "s0", 2, RelayFixture.GROUP, "s0", 80, "d1", false, 0, 128, Map.of("m", 1)),
        RelayFixture.server("s1", 2));
    assertEquals(List.of("s0", "s1"), ids(rollout.nextOrders(fixture.state.get())));
  }

  /** Guards against an order to a server that does not hold the model, whatever it stated. */
  @Test
  void serverWithoutTheModelGetsNoOrder() {
    FleetState s = state(2, 1);
    BackendServer other = new BackendServer("o", 1, "other", "o", 80, "d1", false, 0, 8, Map.of());
    fixture.load(2, Map.of(RelayFixture.MODEL, 2), RelayFixture.server("s0", 1), other);
    fixture.loads.of(other).recordWeights(1);
    assertEquals(
        ids(rollout.outstandingOrders(s)), ids(rollout.outstandingOrders(fixture.state.get())));
  }
}

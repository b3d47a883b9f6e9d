package org.cowslipyoke.daemon.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.Configuration.Fencing;
import org.cowslipyoke.config.Configuration.Group;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.lease.LoadingSlots;
import org.cowslipyoke.lease.OrderLease;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.platform.ModelEngine.Order;
import org.junit.jupiter.api.Test;

class WeightReconcilerTest {

  private static final Order LOAD_V1 = new Order("load", "m", "", "v1", "");

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final FakeVmList vms = new FakeVmList();
  private final List<Server> servers = new ArrayList<>();
  private Fencing fencing = Fencing.ENFORCED;
  private DomainState domain = DomainState.IN;
  private int tokens;

  /** A server with the components of its daemon. */
  private final class Server {
    final FakeEngineWithOrders engine = new FakeEngineWithOrders(clock);
    final ConfigurationHolder holder = new ConfigurationHolder();
    final PauseDetector pauses = new PauseDetector(clock);
    final OrderLease lease;
    final WeightReconciler reconciler;
    boolean admitting = true;
    int running;
    private long nextAtMs;

    Server(String vm) {
      lease = new OrderLease(table, clock, pauses, vm, () -> "t" + tokens++);
      LoadingSlots slots = new LoadingSlots(table, clock, vm, () -> "t" + tokens++);
      reconciler =
          new WeightReconciler(
              "g",
              holder,
              engine,
              lease,
              slots,
              vms,
              () -> admitting,
              on -> {
                admitting = on;
                return running;
              });
      configure(this, 1, "v1");
    }

    void step() {
      pauses.tick();
      if (clock.nowMs() >= nextAtMs) {
        nextAtMs = clock.nowMs() + reconciler.step();
      }
    }

    boolean isAt(String version) {
      return engine.weightVersion.equals(version) && !engine.isLoading() && admitting;
    }
  }

  private List<Server> group(int count) {
    for (int i = 0; i < count; i++) {
      vms.add("s" + i, "g", i % 2 == 0 ? "d0" : "d1");
      servers.add(new Server("s" + i));
    }
    return servers;
  }

  private void configure(Server s, long head, String version, String... adapters) {
    Model m = new Model("m", "g", version, List.of(adapters), 100);
    Places p =
        new Places(
            Map.of("d1", domain), Map.of("g", new Group("g", fencing, "w")), Map.of(), Map.of());
    Limits l = new Limits(1, 1, 1, 1, 30_000, 1 << 20);
    assertTrue(s.holder.offer(new Configuration(head, Map.of(), Map.of(), Map.of("m", m), p, l)));
  }

  private void run(long ms, Runnable check) {
    for (long t = 0; t < ms; t += 50) {
      clock.advance(50);
      servers.forEach(Server::step);
      check.run();
    }
  }

  private void run(long ms) {
    run(ms, () -> {});
  }

  /** Guards against a swap that interrupts running runs or never completes. */
  @Test
  void swapWaitsForRunningRunsThenLoadsAndReopensAdmission() {
    Server s = group(4).get(0);
    s.running = 2;
    configure(s, 2, "v2");
    run(60_000);
    assertFalse(s.admitting);
    assertEquals(0, s.engine.orders.size());
    s.running = 0;
    run(5_000);
    assertTrue(s.isAt("v2"));
    assertEquals(1, s.engine.orders.size());
  }

  /** Guards against more than half of a group, or more than two servers, loading at once. */
  @Test
  void halfOfTheGroupKeepsServing() {
    for (int size : List.of(1, 2, 3, 4, 6)) {
      servers.clear();
      vms.clear();
      group(size).forEach(s -> configure(s, 2, "v2"));
      int[] least = {size};
      run(
          120_000,
          () -> {
            int open = (int) servers.stream().filter(s -> s.admitting).count();
            least[0] = Math.min(least[0], open);
          });
      assertTrue(servers.stream().allMatch(s -> s.isAt("v2")), "group of " + size);
      assertTrue(size == 1 || least[0] >= Math.max((size + 1) / 2, size - 2), "of " + size);
    }
  }

  /** Guards against a swap that starts while half of the group is out of service. */
  @Test
  void swapWaitsWhileFailureDomainIsOut() {
    domain = DomainState.OUT;
    group(4).forEach(s -> configure(s, 2, "v2"));
    run(30_000, () -> assertTrue(servers.stream().allMatch(s -> s.admitting)));
    domain = DomainState.IN;
    servers.forEach(s -> configure(s, 3, "v2"));
    run(60_000);
    assertTrue(servers.stream().allMatch(s -> s.isAt("v2")));
  }

  /** Guards against an order that is repeated or forgotten when its response is lost. */
  @Test
  void stateIsReadAfterTheResponseToAnOrderWasLost() {
    Server s = group(1).get(0);
    s.engine.loseAnswers = 1;
    configure(s, 2, "v2");
    run(10_000);
    assertTrue(s.isAt("v2"));
    assertEquals(1, s.engine.orders.size());
  }

  /** Guards against weights of an outdated order staying loaded. */
  @Test
  void orderOfAnEarlierHolderIsCorrectedOnAnEngineThatIgnoresTheNumber() {
    fencing = Fencing.IGNORED;
    Server s = group(1).get(0);
    s.engine.enforced = false;
    configure(s, 2, "v2");
    run(10_000);
    assertTrue(s.isAt("v2"));
    assertTrue(s.engine.order(LOAD_V1, 0).isRight());
    run(10_000);
    assertTrue(s.isAt("v2"));
  }

  /**
   * Guards against an order to an engine without fencing during the term of the earlier lease
   * holder.
   */
  @Test
  void nextLeaseHolderServesUntilTheEarlierTermEnds() {
    fencing = Fencing.IGNORED;
    Server s = group(1).get(0);
    s.engine.enforced = false;
    Server earlier = new Server("s0");
    earlier.lease.acquire().get();
    configure(s, 2, "v2");
    run(OrderLease.TERM_MS, () -> assertTrue(s.admitting && s.engine.orders.isEmpty()));
    run(10_000);
    assertTrue(s.isAt("v2"));
  }

  /** Guards against an order from a daemon that was paused until its lease had expired. */
  @Test
  void noOrderIsSentAfterTheLeaseExpiredDuringPause() {
    Server s = group(1).get(0);
    s.running = 1;
    configure(s, 2, "v2");
    run(1_000);
    assertFalse(s.admitting);
    s.running = 0;
    clock.advance(OrderLease.TERM_MS + 1);
    run(2_000);
    assertEquals(0, s.engine.orders.size());
    assertTrue(s.admitting);
    s.pauses.confirmRecovered(s.pauses.pauseCount());
    run(10_000);
    assertTrue(s.isAt("v2"));
  }

  /** Guards against a daemon that keeps using a fencing number that the engine refuses. */
  @Test
  void refusedFencingNumberLeadsToNewLease() {
    Server s = group(1).get(0);
    s.engine.fencingNumber = 3;
    configure(s, 2, "v2");
    run(10_000);
    assertTrue(s.isAt("v2"));
    assertEquals(List.of(3L), s.engine.orders);
  }

  /** Guards against a server that stays out of service while the table is unavailable. */
  @Test
  void tableOutageReopensAdmission() {
    Server s = group(1).get(0);
    s.running = 1;
    configure(s, 2, "v2");
    run(1_000);
    assertFalse(s.admitting);
    table.setOutage(true);
    run(15_000);
    assertTrue(s.admitting);
    table.setOutage(false);
    s.running = 0;
    run(40_000);
    assertTrue(s.isAt("v2"));
  }

  /** Guards against adapters that differ from the configuration. */
  @Test
  void adaptersAreLoadedAndUnloaded() {
    Server s = group(1).get(0);
    configure(s, 2, "v1", "a", "b");
    run(10_000, () -> assertTrue(s.admitting));
    assertEquals(List.of("a", "b"), s.engine.adapters);
    configure(s, 3, "v1", "b");
    run(10_000);
    assertEquals(List.of("b"), s.engine.adapters);
  }

  /** Guards against an engine that keeps other weights after a restart. */
  @Test
  void restartedEngineLoadsAgain() {
    Server s = group(1).get(0);
    s.engine.weightVersion = "v0";
    run(10_000);
    assertTrue(s.isAt("v1"));
  }
}

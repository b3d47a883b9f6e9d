package org.cowslipyoke.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.config.Configuration.Places;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.platform.VmList.Role;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.junit.jupiter.api.Test;

/** Guards the choice of servers, and budgets that grow beyond their share. */
class RoutingPoliciesTest {

  private static final Limits LIMITS = new Limits(1, 0.5, 0.001, 1, 60_000, 1 << 20);
  private static final RoutingRequest SHAPE = new RoutingRequest("a", "m", new byte[] {7}, 1_000);

  private final ManualClock clock = new ManualClock();
  private final List<Vm> servers = IntStream.range(0, 10).mapToObj(i -> vm("s" + i)).toList();

  private static Vm vm(String name) {
    return new Vm(name, "127.0.0.1", 1, Role.SERVER, "fd", "g", State.LIVE);
  }

  private static Candidate candidate(String vm, int cached, long ttftMs, long bytes, int queued) {
    return new Candidate(vm(vm), new Offer(1, cached, 0, bytes, ttftMs, queued, 0, "v", -1));
  }

  private RoutingPolicy policy(String name) {
    return RoutingPolicies.byName(name, clock, () -> LIMITS);
  }

  @Test
  void allPoliciesProbeDistinctServersAndBearAnEmptyFleet() {
    for (String n : RoutingPolicies.NAMES) {
      List<Vm> probes = policy(n).probes(SHAPE, servers);
      assertEquals(probes.size(), new HashSet<>(probes).size(), n);
      assertFalse(probes.isEmpty(), n);
      assertTrue(policy(n).probes(SHAPE, List.of()).isEmpty(), n);
      assertTrue(policy(n).choose(SHAPE, List.of()).isEmpty(), n);
    }
  }

  @Test
  void costWeighsTimeRecomputationAndLink() {
    Candidate cold = candidate("cold", 0, 100, 0, 0);
    Candidate warm = candidate("warm", 900, 300, 0, 5);
    Candidate far = candidate("far", 900, 300, 400_000, 0);
    assertEquals(warm, policy("cost").choose(SHAPE, List.of(cold, warm, far)).orElseThrow());
    assertEquals(cold, policy("least-loaded").choose(SHAPE, List.of(warm, cold)).orElseThrow());
  }

  @Test
  void costProbesSameServersForConversationPlusLeastLoaded() {
    RoutingPolicy cost = policy("cost");
    List<Vm> first = cost.probes(SHAPE, servers);
    assertEquals(4, first.size());
    assertEquals(first.subList(0, 3), cost.probes(SHAPE, servers).subList(0, 3));
  }

  @Test
  void fleetViewExcludesLeavingServersAndDomainsTakenOut() {
    FleetView fleet = new FleetView();
    Vm out = new Vm("o", "127.0.0.1", 1, Role.SERVER, "out", "g", State.LIVE);
    Vm leaving = new Vm("l", "127.0.0.1", 1, Role.SERVER, "fd", "g", State.LEAVING);
    Vm entry = new Vm("e", "127.0.0.1", 1, Role.ENTRY, "fd", "", State.LIVE);
    fleet.update(List.of(out, leaving, entry, servers.get(0)));
    Places places = new Places(Map.of("out", DomainState.OUT), Map.of(), Map.of(), Map.of());
    assertEquals(List.of(servers.get(0)), fleet.servers("g", places));
    assertEquals(1, fleet.liveEntries());
  }

  @Test
  void retriesAreTenPercentPlusTenInEachWindow() {
    RetryBudget b = new RetryBudget(clock);
    IntStream.range(0, 100).forEach(i -> b.onRequest());
    assertEquals(20, IntStream.range(0, 100).filter(i -> b.tryRetry()).count());
    clock.advance(RetryBudget.WINDOW_MS);
    assertEquals(20, IntStream.range(0, 100).filter(i -> b.tryRetry()).count());
    clock.advance(2 * RetryBudget.WINDOW_MS);
    assertEquals(10, IntStream.range(0, 100).filter(i -> b.tryRetry()).count());
    assertFalse(new HedgeBudget(clock).tryHedge());
  }

  @Test
  void namesAreComplete() {
    assertEquals(
        Set.of("cost", "round-robin", "least-loaded", "hash-only"),
        Set.copyOf(RoutingPolicies.NAMES));
  }
}

package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Tests limits that all entries together keep without coordination, and the placement of services
 * that run no model.
 */
class LimitsTest {

  private final ManualClock clock = new ManualClock();
  private final BackendServer server = RelayFixture.server("s1", 1);

  /**
   * Guards against overloading a server in cold start: all entries together stay within its rate in
   * any second.
   */
  @Test
  void entriesTogetherStayWithinTheRateOfColdServer() {
    int entries = 5;
    List<ColdStartLimiter> shares =
        Stream.generate(() -> new ColdStartLimiter(clock)).limit(entries).toList();
    clock.advance(ColdStartLimiter.START_GRACE_MS);
    long seed = 17;
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    ArrayDeque<Long> sent = new ArrayDeque<>();
    for (int i = 0; i < 20_000; i++) {
      clock.advance(random.nextInt(3));
      if (shares.get(random.nextInt(entries)).tryAcquire(server, 15, entries)) {
        sent.addLast(clock.nowMs());
      }
      while (!sent.isEmpty() && clock.nowMs() - sent.getFirst() >= 1_000) {
        sent.removeFirst();
      }
      assertTrue(sent.size() <= 15, "requests in a second: " + sent.size());
    }
    assertFalse(sent.isEmpty());
  }

  /** Guards against exceeding the rate while the other entries don't count a new entry yet. */
  @Test
  void newEntrySendsNothingToColdServers() {
    ColdStartLimiter share = new ColdStartLimiter(clock);
    assertFalse(share.tryAcquire(server, 15, 1));
    clock.advance(ColdStartLimiter.START_GRACE_MS);
    assertTrue(share.tryAcquire(server, 15, 1));
  }

  /** Guards against retry storms: the retries of all entries together stay within the budget. */
  @Test
  void retriesOfAllEntriesStayWithinTheBudget() {
    int entries = 5;
    List<ServiceRetryBudget> budgets =
        Stream.generate(() -> new ServiceRetryBudget(clock, 10_000, 0.2, 56))
            .limit(entries)
            .toList();
    int repeats = 0;
    for (int i = 0; i < 1_000; i++) {
      clock.advance(10);
      ServiceRetryBudget b = budgets.get(i % entries);
      b.recordRequest("s");
      repeats += b.tryAcquire("s", entries) ? 1 : 0;
      repeats += b.tryAcquire("s", entries) ? 1 : 0;
    }
    assertTrue(repeats <= 0.2 * 1_000 + 56, "repeats " + repeats);
    assertTrue(repeats >= 0.5 * (0.2 * 1_000 + 56), "repeats " + repeats);
  }

  @Test
  void requestsGoToTheServerWithLeastLoadAndFailures() {
    ServerLoads loads = new ServerLoads(clock);
    ServicePlacement placement =
        new ServicePlacement(loads, "d1", CrossingCost.FIXED, new Random(1));
    BackendServer other = RelayFixture.server("s2", 1);
    loads.of(server).recordStart(PromptWork.NONE);
    assertEquals("s2", placement.choose(List.of(server, other)).orElseThrow().id());
    loads.of(other).recordFailure(1);
    assertEquals("s1", placement.choose(List.of(server, other)).orElseThrow().id());
    clock.advance(20_000);
    assertEquals("s2", placement.choose(List.of(server, other)).orElseThrow().id());
  }
}

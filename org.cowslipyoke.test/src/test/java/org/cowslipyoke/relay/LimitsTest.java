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

/** Limits that entries keep without talking to each other. */
class LimitsTest {

  private final ManualClock clock = new ManualClock();
  private final BackendServer server = RelayFixture.server("s1", 1);

  /**
   * Guards against a cold server that falls over: all entries stay below its rate in any second.
   */
  @Test
  void sharesOfColdServerStayBelowItsRate() {
    int entries = 5;
    List<ColdShare> shares = Stream.generate(() -> new ColdShare(clock)).limit(entries).toList();
    clock.advance(ColdShare.SETTLE_MS);
    long seed = 17;
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    ArrayDeque<Long> sent = new ArrayDeque<>();
    for (int i = 0; i < 20_000; i++) {
      clock.advance(random.nextInt(3));
      if (shares.get(random.nextInt(entries)).tryTake(server, 15, entries)) {
        sent.addLast(clock.nowMs());
      }
      while (!sent.isEmpty() && clock.nowMs() - sent.getFirst() >= 1_000) {
        sent.removeFirst();
      }
      assertTrue(sent.size() <= 15, "requests in a second: " + sent.size());
    }
    assertFalse(sent.isEmpty());
  }

  /** Guards against an entry that the others don't count yet. */
  @Test
  void newEntryLeavesColdServersAlone() {
    ColdShare share = new ColdShare(clock);
    assertFalse(share.tryTake(server, 15, 1));
    clock.advance(ColdShare.SETTLE_MS);
    assertTrue(share.tryTake(server, 15, 1));
  }

  /** Guards against a retry storm: repeats of all entries stay within ratio and constant. */
  @Test
  void repeatsStayWithinTheBudgetInAnyWindow() {
    int entries = 5;
    List<ServiceRetryBudget> budgets =
        Stream.generate(() -> new ServiceRetryBudget(clock, 10_000, 0.2, 56))
            .limit(entries)
            .toList();
    int repeats = 0;
    for (int i = 0; i < 1_000; i++) {
      clock.advance(10);
      ServiceRetryBudget b = budgets.get(i % entries);
      b.onRequest("s");
      repeats += b.tryRepeat("s", entries) ? 1 : 0;
      repeats += b.tryRepeat("s", entries) ? 1 : 0;
    }
    assertTrue(repeats <= 0.2 * 1_000 + 56, "repeats " + repeats);
    assertTrue(repeats >= 0.5 * (0.2 * 1_000 + 56), "repeats " + repeats);
  }

  @Test
  void callsGoToTheServerWithLeastWorkAndTrouble() {
    ServerLoads loads = new ServerLoads(clock);
    ServicePlacement placement = new ServicePlacement(loads, "d1", new Random(1));
    BackendServer other = RelayFixture.server("s2", 1);
    loads.of(server).begin(PromptWork.NONE);
    assertEquals("s2", placement.choose(List.of(server, other)).orElseThrow().id());
    loads.of(other).trouble(1);
    assertEquals("s1", placement.choose(List.of(server, other)).orElseThrow().id());
    clock.advance(20_000);
    assertEquals("s2", placement.choose(List.of(server, other)).orElseThrow().id());
  }
}

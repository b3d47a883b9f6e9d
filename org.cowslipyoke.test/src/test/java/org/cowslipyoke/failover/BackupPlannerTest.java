package org.cowslipyoke.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.failover.BackupPlanner.Choice;
import org.cowslipyoke.failover.BackupPlanner.Decision;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PromptWork;
import org.junit.jupiter.api.Test;

class BackupPlannerTest {

  private static final BackendServer OWN = FailoverFixture.server("own", "d1");
  private static final BackendServer NEAR = FailoverFixture.server("near", "d1");
  private static final BackendServer FAR = FailoverFixture.server("far", "d2");
  private static final BackendServer FAR_2 = FailoverFixture.server("far2", "d3");

  private final FailoverFixture entry = new FailoverFixture(OWN, NEAR, FAR, FAR_2);

  private Choice choose(BackupPlanner planner, int tokens) {
    return planner.choose(
        FailoverFixture.route(false),
        FailoverFixture.prompt(tokens),
        FailoverFixture.plan(OWN),
        entry.state,
        FailoverFixture.group(true));
  }

  private BackupPlanner planner() {
    return entry.planner(BackupPlanner.Prices.DEFAULT);
  }

  @Test
  void streamThatMayNotBeRetriedIsCopiedToAnotherFailureDomain() {
    BackupPlanner p = planner();
    Map<String, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      Choice c = choose(p, 800);
      assertEquals(Decision.COPIED, c.decision());
      chosen.merge(c.server().orElseThrow().id(), 1, Integer::sum);
      p.record(c.server().orElseThrow(), c).close(true);
    }
    assertEquals(2, chosen.size(), chosen.toString());
    assertTrue(chosen.getOrDefault("far", 0) > 50 && chosen.getOrDefault("far2", 0) > 50);
  }

  /** Guards against transfers that nobody asked for, and headers that an engine doesn't know. */
  @Test
  void onlyWhatCanGoOnIsCopied() {
    Choice resumable =
        planner()
            .choose(
                FailoverFixture.route(true),
                FailoverFixture.prompt(800),
                FailoverFixture.plan(OWN),
                entry.state,
                FailoverFixture.group(true));
    assertEquals(Decision.NOT_OFFERED, resumable.decision());
    Choice withoutBackups =
        planner()
            .choose(
                FailoverFixture.route(false),
                FailoverFixture.prompt(800),
                FailoverFixture.plan(OWN),
                entry.state,
                FailoverFixture.group(false));
    assertEquals(Decision.NOT_OFFERED, withoutBackups.decision());
  }

  /** Guards against moving more memory than the lost answers are worth. */
  @Test
  void transferIsWeighedAgainstLosses() {
    assertEquals(Decision.NOT_WORTH, choose(planner(), 9_000).decision());
    for (int i = 0; i < 2_000; i++) {
      entry.losses.record(FailoverFixture.GROUP, i % 5 == 0);
    }
    assertEquals(Decision.COPIED, choose(planner(), 9_000).decision());
    BackupPlanner dear = entry.planner(new BackupPlanner.Prices(50_000, 1_000, 0.5, 0.7));
    assertEquals(Decision.NOT_WORTH, choose(dear, 800).decision());
  }

  /** Guards against a copy that crosses domains although that costs more than the loss. */
  @Test
  void copyStaysInTheDomainIfCrossingCostsTooMuch() {
    double lossMs = LossRate.PRIOR * 1_000 * 0.5;
    double gb = 850 * 100_000 / 1e9;
    BackupPlanner p = entry.planner(new BackupPlanner.Prices(lossMs / gb / 1.5, 1_000, 0.5, 0.7));
    assertEquals("near", choose(p, 800).server().orElseThrow().id());
    entry.list(OWN, FAR);
    assertEquals(Decision.NO_ROOM, choose(p, 800).decision());
  }

  @Test
  void serversThatCouldNotContinueTheRunAreLeftOut() {
    entry.list(
        OWN,
        FailoverFixture.server("cold", "d2", 2_000, 1),
        FailoverFixture.server("newer", "d2", 0, 2));
    assertEquals(Decision.NO_ROOM, choose(planner(), 800).decision());
    entry.list(OWN, FAR);
    entry.loads.of(FAR).recordLoading();
    assertEquals(Decision.NO_ROOM, choose(planner(), 800).decision());
    entry.clock.advance(10_000);
    entry.loads.of(FAR).recordRefusal(false);
    assertEquals(Decision.NO_ROOM, choose(planner(), 800).decision());
  }

  /**
   * Guards against copies that push running requests or other copies out of memory: only memory
   * that is free at the price of the runs that they would displace is used.
   */
  @Test
  void copiesNeedRoom() {
    entry.list(OWN, FAR);
    entry.loads.of(FAR).recordStart(new PromptWork(0, 45_000, List.of()));
    assertEquals(Decision.NO_ROOM, choose(planner(), 800).decision());
    entry.list(OWN, FAR_2);
    BackupPlanner p = planner();
    List<CopyLedger.Entry> copies = new ArrayList<>();
    for (Choice c = choose(p, 800); c.server().isPresent(); c = choose(p, 800)) {
      copies.add(p.record(c.server().orElseThrow(), c));
    }
    double used = copies.size() * 850.0 / 64_000;
    assertTrue(used > BackupPlanner.FREE_MEMORY_FRACTION && used < 0.7, "used " + used);
    assertEquals(copies.size() * 850L, entry.loads.of(FAR_2).residentTokens(), "as reported");
    copies.get(0).close(false);
    assertEquals(Decision.NO_ROOM, choose(p, 800).decision(), "kept for a lost run");
    entry.clock.advance(FailoverFixture.COPY_MS);
    assertEquals(Decision.COPIED, choose(p, 800).decision());
    copies.subList(1, copies.size()).forEach(c -> c.close(true));
    assertEquals(0, entry.loads.of(FAR_2).residentTokens());
  }

  /** Guards against copies into the last gaps of a full fleet, which waiting prompts need. */
  @Test
  void fullFleetCopiesNothing() {
    for (BackendServer s : List.of(OWN, NEAR, FAR)) {
      entry.loads.of(s).recordStart(new PromptWork(0, 80_000, List.of()));
    }
    assertEquals(Decision.COPIED, choose(planner(), 800).decision(), "a quarter is free");
    entry.loads.of(OWN).recordStart(new PromptWork(0, 20_000, List.of()));
    assertEquals(Decision.NO_ROOM, choose(planner(), 800).decision());
  }

  /** Guards against refusing every copy where engines do fail, as the price of memory is fixed. */
  @Test
  void moreLossesJustifyMoreMemory() {
    entry.list(OWN, FAR);
    entry.loads.of(FAR).recordStart(new PromptWork(0, 43_000, List.of()));
    assertEquals(Decision.NO_ROOM, choose(planner(), 800).decision());
    for (int i = 0; i < 2_000; i++) {
      entry.losses.record(FailoverFixture.GROUP, i % 5 == 0);
    }
    assertEquals(Decision.COPIED, choose(planner(), 800).decision());
  }

  @Test
  void priorFadesWithRunsThatEndWell() {
    assertEquals(LossRate.PRIOR, entry.losses.of("x"), 1e-9);
    for (int i = 0; i < 38_000; i++) {
      entry.losses.record("x", false);
    }
    assertEquals(LossRate.PRIOR / 20, entry.losses.of("x"), 1e-4);
  }
}

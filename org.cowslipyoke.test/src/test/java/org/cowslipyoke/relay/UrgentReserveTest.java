package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.RankLoad;
import org.cowslipyoke.relay.PromptAdmission.Applicant;
import org.cowslipyoke.relay.PromptDemand.Urgent;
import org.cowslipyoke.relay.UrgentReserve.Limits;
import org.junit.jupiter.api.Test;

class UrgentReserveTest {

  private static final EngineProfile PROFILE = EngineProfile.INITIAL;
  private static final Limits LIMITS = new Limits(50_000, 500);

  private static PromptWork work(int rank, int tokens) {
    return new PromptWork(rank, tokens, tokens, List.of());
  }

  private static UrgentReserve reserve(Urgent urgent, int tokens, long waitedMs) {
    Prompt p = new Prompt(RelayFixture.MODEL, tokens, 50, 50, List.of());
    Route route = RelayFixture.route(RequestKind.STREAM, true, 2);
    Applicant a = new Applicant(route, "s", 3, "a", p, waitedMs, 5_000, false, waitedMs > 0);
    return new UrgentReserve(urgent, a, LIMITS, () -> true);
  }

  private static boolean hasRoom(int tokens, long waitedMs, Load load) {
    UrgentReserve r = reserve(new Urgent(0, 400), tokens, waitedMs);
    return r.hasRoom(load, work(3, tokens), tokens, PROFILE);
  }

  private static Load load(long urgentTokens, long ownRankTokens) {
    return new Load(
        Map.of(0, new RankLoad(5, 0, urgentTokens), 3, new RankLoad(5, 0, ownRankTokens)));
  }

  /** Guards against prompts that engines preempt because their memory is full. */
  @Test
  void promptMustFitFreeMemoryUnlessItHasWaited() {
    assertTrue(hasRoom(9_000, 0, load(20_000, 16_000)));
    assertFalse(hasRoom(9_000, 0, load(20_000, 17_000)), "a tenth is left for small prompts");
    assertTrue(hasRoom(2_000, 0, load(20_000, 28_000)), "a small prompt uses all");
    assertFalse(hasRoom(30_000, 0, load(45_000, 0)));
    assertTrue(hasRoom(30_000, 300, load(45_000, 0)), "the largest prompts must run");
    assertFalse(hasRoom(9_000, 300, load(30_000, 9_000)), "one of its rank is there");
  }

  /** Guards against queues of prefill during which all streams of an engine pause for too long. */
  @Test
  void longPrefillCostsByNumberOfStreams() {
    UrgentReserve r = reserve(Urgent.NONE, 15_000, 0);
    Load busy = load(20_000, 20_000);
    assertEquals(0, r.costMs(busy, work(3, 15_000), PROFILE));
    double over = PROFILE.prefillMs(30_000, 10) - 375;
    assertEquals(10 * over, r.costMs(busy, work(3, 30_000), PROFILE), 0.01);
    assertEquals(0, r.costMs(Load.NONE, work(3, 30_000), PROFILE));
  }
}

package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;

class RankedLoadTest {

  private static final int URGENT = UrgencyRank.of(0, true);
  private static final int OTHER = UrgencyRank.of(2, false);

  private final RelayFixture fixture = new RelayFixture();
  private final BackendServer server = RelayFixture.server("s1", 1);

  private double estimateMs(int rank) {
    FleetState s = fixture.state.get();
    ServerGroup group =
        requireNonNull(requireNonNull(s.desired()).groups().get(RelayFixture.GROUP));
    return fixture
        .placement()
        .choose(
            RelayFixture.prompt("org", "doc"),
            rank,
            null,
            s,
            group,
            List.of(server),
            EngineRoom.ANY)
        .orElseThrow()
        .estimateMs();
  }

  @Test
  void prioritiesOfTheWireHaveRanks() {
    assertEquals(0, UrgencyRank.of(0, true));
    assertEquals(1, UrgencyRank.of(0, false));
    assertEquals(2, UrgencyRank.of(1, true));
    assertEquals(5, UrgencyRank.of(4, false));
    assertEquals(UrgencyRank.COUNT - 1, UrgencyRank.of(9, false));
  }

  /**
   * Guards against refusing all prompts with a short objective beside those with a long one, if the
   * priority of an organisation overrides that of their routes.
   */
  @Test
  void shortObjectiveComesFirstAtTheSamePriority() {
    Route usual = RelayFixture.route(RequestKind.STREAM, true, 2);
    Route quick =
        new Route(
            "q", "h", "/q/", RequestKind.STREAM, true, 5_000, 250, 2, 1, false, usual.shares());
    RouteTable both = new RouteTable(List.of(usual, quick));
    assertEquals(3, UrgencyRank.of(both, usual, RelayFixture.GROUP, 1));
    assertEquals(2, UrgencyRank.of(both, quick, RelayFixture.GROUP, 1));
    RouteTable alone = new RouteTable(List.of(quick));
    assertEquals(3, UrgencyRank.of(alone, quick, RelayFixture.GROUP, 1));
  }

  /** Guards against refusing urgent prompts for a backlog that they overtake at the engine. */
  @Test
  void promptWaitsOnlyForOthersAsUrgentAndForOneChunk() {
    fixture.load(1, Map.of(), server);
    double idleMs = estimateMs(URGENT);
    fixture.loads.of(server).recordStart(new PromptWork(OTHER, 200_000, 200_000, List.of()));
    EngineProfile p = EngineProfile.INITIAL;
    double chunkMs = p.prefillMs(Math.round(p.chunkTokens()), 1);
    assertEquals(idleMs + chunkMs, estimateMs(URGENT), 1);
    assertTrue(estimateMs(OTHER) > idleMs + p.prefillMs(200_000, 1), "behind the backlog");
    fixture.loads.of(server).recordStart(new PromptWork(URGENT, 50_000, 9_000, List.of()));
    assertTrue(estimateMs(URGENT) > idleMs + p.prefillMs(50_000, 1), "behind its own rank");
  }

  /** Guards against a shared part that stays resident, or negative, after its users' ends. */
  @Test
  void sharedPartIsResidentForItsMostUrgentUser() {
    ServerLoad load = new ServerLoad(new ManualClock(), urgent -> {});
    PromptWork urgent = PromptWork.of(URGENT, RelayFixture.prompt("org", "doc"), "salt", 1_000);
    PromptWork other = PromptWork.of(OTHER, RelayFixture.prompt("org", "doc"), "salt", 1_000);
    load.recordStart(other);
    assertEquals(0, load.snapshot().upTo(URGENT).residentTokens());
    load.recordStart(urgent);
    assertEquals(9_025, load.snapshot().upTo(URGENT).residentTokens());
    assertEquals(10_050, load.residentTokens());
    load.recordEnd(urgent);
    assertEquals(0, load.snapshot().upTo(URGENT).residentTokens());
    assertEquals(9_025, load.residentTokens());
    load.recordEnd(other);
    load.recordPrefillEnd(other);
    load.recordPrefillEnd(urgent);
    assertEquals(PeerLoads.Load.NONE, load.snapshot());
  }
}

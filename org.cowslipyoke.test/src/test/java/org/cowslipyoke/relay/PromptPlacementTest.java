package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PromptPlacementTest {

  private final RelayFixture fixture = new RelayFixture();
  private final PromptPlacement placement = fixture.placement();
  private final BackendServer s1 = RelayFixture.server("s1", 1);
  private final BackendServer s2 = RelayFixture.server("s2", 1);
  private final BackendServer s3 = RelayFixture.server("s3", 1);

  @BeforeEach
  void load() {
    fixture.load(1, Map.of(), s1, s2, s3);
  }

  private Optional<PromptPlan> plan(Prompt p) {
    FleetState s = fixture.state.get();
    ServerGroup group =
        requireNonNull(requireNonNull(s.desired()).groups().get(RelayFixture.GROUP));
    return placement.choose(p, null, s, group, s.available(RelayFixture.GROUP));
  }

  @Test
  void promptGoesWhereItsPartsAreHeld() {
    for (BackendServer s : List.of(s1, s2, s3)) {
      String doc = "doc-" + s.id();
      fixture.holds(s.address(), "org", doc);
      PromptPlan p = plan(RelayFixture.prompt("org", doc)).orElseThrow();
      assertEquals(s.id(), p.server().id());
      assertEquals(1_000, p.work().unreadTokens());
    }
  }

  /** Guards against a popular prefix that keeps one server busy while others are idle. */
  @Test
  void workThatWaitsMovesPromptsElsewhere() {
    fixture.holds(s1.address(), "org", "doc");
    fixture.loads.of(s1).begin(RelayFixture.work(30_000, 0));
    PromptPlan p = plan(RelayFixture.prompt("org", "doc")).orElseThrow();
    assertNotEquals("s1", p.server().id());
    assertEquals(List.of("s1:80", "s1:80", ""), p.sources());
    assertEquals(1_000, p.work().unreadTokens());
  }

  /**
   * Guards against fetches that engines don't make: they stop at the first part without a source,
   * so a part that the server holds has to be named as well.
   */
  @Test
  void everyLeadingPartIsNamedWithSource() {
    fixture.holds(s1.address(), "org");
    fixture.holds("store-b:1", "org", "doc");
    fixture.loads.of(s2).begin(RelayFixture.work(90_000, 0));
    fixture.loads.of(s3).begin(RelayFixture.work(90_000, 0));
    PromptPlan p = plan(RelayFixture.prompt("org", "doc")).orElseThrow();
    assertEquals("s1", p.server().id());
    assertEquals(List.of("store-b:1", "store-b:1", ""), p.sources());
  }

  /**
   * Guards against one engine sending a popular part to all others, one transfer after the other.
   */
  @Test
  void popularPartsAreFetchedFromManyEngines() {
    BackendServer[] servers = new BackendServer[24];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = RelayFixture.server("s" + i, 1);
    }
    fixture.load(2, Map.of(), servers);
    for (int i = 0; i < 12; i++) {
      fixture.holds(servers[i].address(), "org");
      fixture.loads.of(servers[i]).begin(RelayFixture.work(90_000, 0));
    }
    Map<String, Integer> uses = new HashMap<>();
    for (int i = 0; i < 120; i++) {
      PromptPlan p = plan(RelayFixture.prompt("org", "doc" + i)).orElseThrow();
      uses.merge(p.sources().get(0), 1, Integer::sum);
    }
    assertTrue(uses.size() >= 6, uses.toString());
    assertTrue(uses.values().stream().allMatch(n -> n <= 40), uses.toString());
  }

  /** Guards against a fetch from the other end of a link between failure domains. */
  @Test
  void nearEngineIsPreferredAsSource() {
    BackendServer far = RelayFixture.server("a-far", 1, "d2");
    fixture.load(2, Map.of(), far, s1, s2);
    fixture.holds(far.address(), "org", "doc");
    fixture.holds(s2.address(), "org", "doc");
    fixture.loads.of(far).begin(RelayFixture.work(90_000, 0));
    fixture.loads.of(s2).begin(RelayFixture.work(90_000, 0));
    PromptPlan p = plan(RelayFixture.prompt("org", "doc")).orElseThrow();
    assertEquals("s1", p.server().id());
    assertEquals(List.of("s2:80", "s2:80", ""), p.sources());
  }

  /** Guards against a fetch from a store whose contents are not known to be whole any more. */
  @Test
  void staleReadingsAreNoSources() {
    fixture.holds("store-b:1", "org", "doc");
    fixture.clock.advance(CacheDirectory.MAX_AGE_MS + 1);
    fixture.load(1, Map.of(), s1, s2, s3);
    PromptPlan p = plan(RelayFixture.prompt("org", "doc")).orElseThrow();
    assertEquals(List.of("", "", ""), p.sources());
    assertEquals(9_000, p.work().unreadTokens());
  }

  /** Guards against a save to a store that restarted, which another entry may still read from. */
  @Test
  void nothingIsSavedToStoreThatJustRestarted() {
    fixture.holds("store-a:1");
    fixture.holds("store-b:1");
    assertEquals(List.of("", "", ""), plan(RelayFixture.prompt("org", "d1")).get().targets());
    fixture.clock.advance(CacheDirectory.SETTLE_MS);
    fixture.load(1, Map.of(), s1, s2, s3);
    fixture.holds("store-a:1");
    fixture.holds("store-b:1");
    List<String> targets = plan(RelayFixture.prompt("org", "d2")).get().targets();
    assertTrue(targets.get(0).startsWith("store-") && targets.get(1).startsWith("store-"));
    assertEquals("", targets.get(2));
    assertEquals("", plan(RelayFixture.prompt("org", "d3")).get().targets().get(0));
  }

  /** Links between failure domains are paid for; a kept prefix is worth more than that. */
  @Test
  void ownFailureDomainIsPreferredUnlessThePrefixIsElsewhere() {
    BackendServer far1 = RelayFixture.server("f1", 1, "d2");
    BackendServer far2 = RelayFixture.server("f2", 1, "d2");
    fixture.load(2, Map.of(), far1, far2, s1);
    for (int i = 0; i < 20; i++) {
      assertEquals("s1", plan(RelayFixture.prompt("org", "doc" + i)).get().server().id());
    }
    fixture.holds("f2:80", "org", "doc");
    assertEquals("f2", plan(RelayFixture.prompt("org", "doc")).get().server().id());
  }

  /** Guards against waiting at a server that went dark before its entry left the list. */
  @Test
  void silentServersAreAvoided() {
    fixture.holds(s1.address(), "org", "doc");
    fixture.clock.advance(CacheDirectory.MAX_AGE_MS + 1);
    fixture.directory.contents(s2.address()).recordResponse(fixture.clock.nowMs());
    PromptPlan p = plan(RelayFixture.prompt("org", "doc")).orElseThrow();
    assertEquals("s2", p.server().id());
  }

  /** Guards against new requests on replaced weights, and against refusing while none are new. */
  @Test
  void oldWeightsAreAvoidedAndGivenUpInTime() {
    BackendServer swapped = RelayFixture.server("s3", 2);
    fixture.load(2, Map.of(RelayFixture.MODEL, 2), s1, s2, swapped);
    assertEquals("s3", plan(RelayFixture.prompt("o", "d")).orElseThrow().server().id());
    fixture.load(3, Map.of(RelayFixture.MODEL, 2), s1, s2, s3);
    assertEquals(1, plan(RelayFixture.prompt("o", "d")).orElseThrow().weights());
    fixture.clock.advance(11_001);
    fixture.load(4, Map.of(RelayFixture.MODEL, 2), s1, s2, s3);
    assertTrue(plan(RelayFixture.prompt("o", "d")).isEmpty());
    fixture.loads.of(s1).recordWeights(2);
    assertEquals(2, plan(RelayFixture.prompt("o", "d")).orElseThrow().weights());
  }

  /** Guards against statements of a server's last incarnation deciding about the present one. */
  @Test
  void restartedServerHasTheWeightsOfTheList() {
    BackendServer again =
        new BackendServer(
            "s1", 2, RelayFixture.GROUP, "s1", 80, "d1", false, 0, 128, Map.of("m", 1));
    fixture.loads.of(s1).recordWeights(2);
    fixture.load(2, Map.of(RelayFixture.MODEL, 2), again);
    assertEquals(1, plan(RelayFixture.prompt("o", "d")).orElseThrow().weights());
    fixture.loads.of(again).recordWeights(2);
    assertEquals(2, plan(RelayFixture.prompt("o", "d")).orElseThrow().weights());
  }

  /** Guards against KV cache of other weights or of a walled organisation. */
  @Test
  void saltSeparatesWeightsAndWalledOrganisations() {
    OrganisationPolicy shared = new OrganisationPolicy("o1", null, false);
    OrganisationPolicy walled = new OrganisationPolicy("o2", null, true);
    String salt = PromptPlacement.salt("m", 1, shared);
    assertEquals(salt, PromptPlacement.salt("m", 1, null));
    assertNotEquals(salt, PromptPlacement.salt("m", 2, shared));
    assertNotEquals(salt, PromptPlacement.salt("m", 1, walled));
  }

  /** Guards against old weights at a process that restarted and can't know when new ones came. */
  @Test
  void weightsThatWereFoundAtTheStartAreBindingSoon() {
    RelayFixture restarted = new RelayFixture();
    restarted.load(1, Map.of(RelayFixture.MODEL, 2), s1, s2, s3);
    restarted.clock.advance(WeightTarget.FOUND_MAX_MS + 1);
    FleetState s = restarted.state.get();
    ServerGroup group =
        requireNonNull(requireNonNull(s.desired()).groups().get(RelayFixture.GROUP));
    assertTrue(
        restarted
            .placement()
            .choose(RelayFixture.prompt("o", "d"), null, s, group, List.of(s1, s2, s3))
            .isEmpty());
  }

  /**
   * Guards against old weights after a restart: where a server holds the named ones, they were
   * named a while ago, and the time for old ones may have passed.
   */
  @Test
  void weightsThatWereFoundInPlaceAreBindingAtOnce() {
    RelayFixture restarted = new RelayFixture();
    BackendServer replaced = RelayFixture.server("s2", 2);
    restarted.load(1, Map.of(RelayFixture.MODEL, 2), s1, replaced, s3);
    restarted.loads.of(replaced).begin(RelayFixture.work(300_000, 0));
    FleetState s = restarted.state.get();
    ServerGroup group =
        requireNonNull(requireNonNull(s.desired()).groups().get(RelayFixture.GROUP));
    PromptPlan p =
        restarted
            .placement()
            .choose(RelayFixture.prompt("o", "d"), null, s, group, List.of(s1, replaced, s3))
            .orElseThrow();
    assertEquals("s2", p.server().id());
  }

  /**
   * Guards against refusals because of what speaks against a server but delays nothing for sure.
   */
  @Test
  void expectedTimeHoldsNoPenalties() {
    for (BackendServer s : List.of(s1, s2, s3)) {
      fixture.loads.of(s).trouble(3);
      fixture.loads.of(s).refused(false);
    }
    PromptPlan p = plan(RelayFixture.prompt("org", "doc")).orElseThrow();
    assertEquals(
        EngineEstimate.FIRST_TOKEN_MS + EngineEstimate.readMs(9_000, 0), p.estimateMs(), 0.001);
  }
}

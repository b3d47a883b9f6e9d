package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which prompts may use the same KV cache. */
class CacheIsolationTest {

  private final RelayFixture fixture = new RelayFixture();

  private String placedSalt(String organisation) {
    FleetState s = fixture.state.get();
    ServerGroup group =
        requireNonNull(requireNonNull(s.desired()).groups().get(RelayFixture.GROUP));
    return fixture
        .placement()
        .choose(
            RelayFixture.prompt("a", "b"), organisation, s, group, s.available(RelayFixture.GROUP))
        .orElseThrow()
        .salt();
  }

  /**
   * Guards against sharing KV cache between different weights or with an organisation whose cache
   * is isolated.
   */
  @Test
  void saltSeparatesWeightsAndIsolatedOrganisations() {
    CacheIsolation c = CacheIsolation.of(Set.of("o2"));
    String salt = c.salt("m", 1, "o1");
    assertEquals(salt, c.salt("m", 1, null));
    assertEquals(salt, c.salt("m", 1, "o3"));
    assertNotEquals(salt, c.salt("m", 2, "o1"));
    assertNotEquals(salt, c.salt("m", 1, "o2"));
  }

  /** Guards against using the KV cache that an organisation made before it stopped sharing. */
  @Test
  void othersLeaveTheSaltOfAnOrganisationThatStopsSharing() {
    String before = CacheIsolation.NONE.salt("m", 1, "o1");
    assertEquals(before, CacheIsolation.NONE.salt("m", 1, "o2"));
    CacheIsolation after = CacheIsolation.of(Set.of("o2"));
    assertNotEquals(before, after.salt("m", 1, "o1"));
    assertNotEquals(before, after.salt("m", 1, "o2"));
    CacheIsolation later = CacheIsolation.of(Set.of("o2", "o3"));
    assertNotEquals(after.salt("m", 1, "o1"), later.salt("m", 1, "o1"));
  }

  /** Guards against an isolated organisation named like the others' salt. */
  @Test
  void nameOfAnOrganisationDoesNotLeadToTheSharedSalt() {
    String suffix = CacheIsolation.of(Set.of("o2")).sharedSuffix();
    for (String name : List.of(suffix, suffix.substring(1), "")) {
      CacheIsolation c = CacheIsolation.of(Set.of(name));
      assertNotEquals(c.salt("m", 1, "o1"), c.salt("m", 1, name));
    }
  }

  /** Guards against placing a request by the policy of an older desired state, as a retry could. */
  @Test
  void promptIsPlacedByTheDesiredStateInForce() {
    fixture.load(1, Map.of(), RelayFixture.server("a", 1));
    assertEquals(CacheIsolation.NONE.salt(RelayFixture.MODEL, 1, "org"), placedSalt("org"));
    CacheIsolation isolation = CacheIsolation.of(Set.of("org"));
    fixture.isolation = isolation;
    fixture.read(2, Map.of(), "key");
    assertEquals(isolation.salt(RelayFixture.MODEL, 1, "org"), placedSalt("org"));
    assertEquals(isolation.salt(RelayFixture.MODEL, 1, "other"), placedSalt("other"));
  }
}

package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.cowslipyoke.errors.ErrorKind;
import org.junit.jupiter.api.Test;

class AdmissionTest {

  private static final long KEY_MAX_AGE_MS = 4_700;

  private final RelayFixture fixture = new RelayFixture();
  private final Admission admission = new Admission(fixture.state, KEY_MAX_AGE_MS);

  private ErrorKind refusal(String path, String key) {
    return admission.admit(RelayFixture.request("host.example:80", path, key)).getLeft().kind();
  }

  @Test
  void nothingIsDeniedBeforeTheDesiredStateIsKnown() {
    assertEquals(ErrorKind.NOT_READY, refusal("/a/x", "key"));
  }

  @Test
  void keyAndRouteDecide() {
    fixture.read(1, Map.of(), "key");
    OrganisationPolicy t =
        admission.admit(RelayFixture.request("HOST.example", "/a/x", "key")).get().tenancy();
    assertEquals("org-key", requireNonNull(t).organisation());
    assertEquals(ErrorKind.UNAUTHENTICATED, refusal("/a/x", "other"));
    assertEquals(ErrorKind.NOT_FOUND, refusal("/b/x", "key"));
  }

  /** Guards against a key that is honoured after it was taken away behind a cut. */
  @Test
  void keyIsHonouredOnlyWhileTheReadingIsFresh() {
    fixture.read(1, Map.of(), "key");
    fixture.clock.advance(KEY_MAX_AGE_MS);
    assertTrue(admission.admit(RelayFixture.request("host.example", "/a/x", "key")).isRight());
    fixture.clock.advance(1);
    assertEquals(ErrorKind.NOT_READY, refusal("/a/x", "key"));
    assertEquals(ErrorKind.NOT_READY, refusal("/a/x", "new"));
    assertEquals(ErrorKind.NOT_READY, refusal("/b/x", "key"));
  }

  /** Guards against old keys after a suspension, in which the monotonic clock stands still. */
  @Test
  void suspendedTimeCounts() {
    fixture.read(1, Map.of(), "key");
    fixture.clock.adjustWallClock(KEY_MAX_AGE_MS + 1);
    assertEquals(ErrorKind.NOT_READY, refusal("/a/x", "key"));
    fixture.read(1, Map.of(), "key");
    assertTrue(admission.admit(RelayFixture.request("host.example", "/a/x", "key")).isRight());
  }

  /** Guards against an older version that a late answer brings back. */
  @Test
  void olderVersionsAreIgnored() {
    fixture.read(5, Map.of("m", 3), "key");
    fixture.read(4, Map.of("m", 2), "key", "old");
    assertEquals(5, requireNonNull(fixture.state.get().desired()).version());
    assertEquals(3, requireNonNull(fixture.state.get().targets().get("m")).version());
  }
}

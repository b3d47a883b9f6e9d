package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;

class SilentServersTest {

  private final ManualClock clock = new ManualClock();
  private final CacheDirectory directory = new CacheDirectory(clock);
  private final SilentServers silent = new SilentServers(directory);
  private final List<BackendServer> servers =
      List.of(
          RelayFixture.server("s1", 1), RelayFixture.server("s2", 1), RelayFixture.server("s3", 1));

  private void answer(int server) {
    directory
        .contents(servers.get(server).address())
        .applyEvents(1, 0, false, List.of(), clock.nowMs());
  }

  private boolean isLost(int server, long idleMs) {
    return silent.isAttemptLost(servers, servers.get(server), idleMs);
  }

  @Test
  void attemptAtSilentServerIsLost() {
    answer(0);
    clock.advance(CacheDirectory.MAX_AGE_MS + 1);
    answer(1);
    answer(2);
    assertTrue(isLost(0, SilentServers.MIN_IDLE_MS));
    assertFalse(isLost(0, SilentServers.MIN_IDLE_MS - 1), "the response still arrives");
    assertFalse(isLost(1, 60_000), "a busy server answers polls");
  }

  /** Guards against moving all requests because this entry was slow or cut off. */
  @Test
  void noAttemptIsLostIfMostServersAreSilent() {
    answer(0);
    answer(1);
    clock.advance(CacheDirectory.MAX_AGE_MS + 1);
    answer(2);
    assertFalse(isLost(0, 60_000));
  }

  @Test
  void serverThatIsNotPolledIsNotSilent() {
    assertFalse(isLost(0, 60_000));
  }
}

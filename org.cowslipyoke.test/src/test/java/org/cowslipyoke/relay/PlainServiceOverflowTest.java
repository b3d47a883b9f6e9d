package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.junit.jupiter.api.Test;

/** One entry before a plain service with a server in each of two failure domains. */
class PlainServiceOverflowTest {

  private static final String SERVICE = "app";
  private static final int SLOTS = 6;
  private static final int REQUESTS = 400;

  private final RelayFixture fixture = new RelayFixture();
  private final BackendServer home = server("h", "d1");
  private final BackendServer away = server("a", "d2");
  private final ServicePlacement placement =
      new ServicePlacement(
          fixture.loads,
          "d1",
          new DomainOverflow(
              fixture.clock,
              "d1",
              fixture.state,
              new DomainPressureReader(
                  fixture.loads,
                  fixture.peers,
                  new SilentServers(fixture.directory),
                  EngineProfiles.FIXED),
              DomainOverflow.Settings.DEFAULT,
              DomainOverflow.Listener.NONE),
          new Random(1));
  private long sequence;

  private static BackendServer server(String id, String domain) {
    return new BackendServer(id, 1, SERVICE, id, 80, domain, false, 0, SLOTS, Map.of());
  }

  PlainServiceOverflowTest() {
    ServerGroup group = new ServerGroup(SERVICE, 200, 0, null);
    DesiredState d = fixture.desired(1, "key");
    fixture.state.updateOperatorConfig(
        new DesiredState(
            1,
            d.routes(),
            Map.of(SERVICE, group),
            List.of(),
            true,
            d.keys(),
            CacheIsolation.NONE,
            1 << 20,
            15_000),
        Set.of(),
        Map.of(),
        fixture.clock.nowMs(),
        fixture.clock.wallMs());
    fixture.state.updateServers(Map.of("h", home, "a", away), fixture.clock.nowMs());
    fixture.state.updateEntryCount(2);
    fixture.loads.of(home).recordResponse(40);
    fixture.loads.of(away).recordResponse(40);
  }

  /** Places requests while the other entry reports a load of the server at home. */
  private int countAway(int inFlightAtHome, List<BackendServer> servers) {
    int leaving = 0;
    for (int i = 0; i < REQUESTS; i++) {
      Load load = new Load(inFlightAtHome, 0, 0);
      fixture.peers.accept(new Report("e2", 1, ++sequence, Map.of(home.incarnation(), load)));
      fixture.clock.advance(20);
      leaving += placement.choose(servers).orElseThrow().equals(away) ? 1 : 0;
    }
    return leaving;
  }

  /** Guards against requests that queue at home while the other domain's server is idle. */
  @Test
  void requestsLeaveFullServerAndReturn() {
    List<BackendServer> both = List.of(home, away);
    assertEquals(0, countAway(SLOTS - 1, both));
    assertTrue(countAway(3 * SLOTS, both) >= REQUESTS / 2);
    // A share of 0.95 falls by 0.1 a second: two periods of 8 s.
    countAway(0, both);
    countAway(0, both);
    assertTrue(countAway(0, both) <= REQUESTS / 10);
  }

  /** Guards against refusing requests of a domain whose only server is gone. */
  @Test
  void requestsOfDomainWithoutServersLeave() {
    fixture.state.updateServers(Map.of("a", away), fixture.clock.nowMs());
    assertEquals(REQUESTS, countAway(0, List.of(away)));
  }
}

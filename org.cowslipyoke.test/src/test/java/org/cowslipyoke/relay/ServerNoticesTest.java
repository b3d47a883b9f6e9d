package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.AttemptObserver.Ended;
import org.cowslipyoke.relay.CandidateFilter.Placed;
import org.cowslipyoke.relay.CandidateFilter.Remaining;
import org.junit.jupiter.api.Test;

/** Tests what an entry does after servers have stated that they leave or want no requests. */
class ServerNoticesTest {

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          RequestKind.IDEMPOTENT,
          false,
          1_000,
          0,
          2,
          5,
          false,
          List.of(new Route.Share("s", 1)));

  private final ManualClock clock = new ManualClock();
  private final List<ServerNotices.Change> changes = new ArrayList<>();
  private final ServerNotices notices = new ServerNotices(clock, new Random(7), changes::add);

  private static BackendServer server(String id, long startedMs) {
    return new BackendServer(id, startedMs, "s", "10.0.0.1", 80, "d", false, 0, 4, Map.of());
  }

  private Remaining remaining(BackendServer... servers) {
    Placed p = new Placed("id", ROUTE, "s", 5, null, 0);
    return notices.filter(p, FleetState.initial(0, 0), List.of(servers));
  }

  private Attempt attempt(BackendServer s) {
    return new Attempt("id", ROUTE, "s", s, null, 1, clock.nowMs());
  }

  private static ServerNotice backOff(long ms) {
    return new ServerNotice(503, true, false, ms);
  }

  /** Guards against an incarnation that is used again while the server list still shows it. */
  @Test
  void leavingHoldsForTheIncarnationOnly() {
    BackendServer old = server("a", 1);
    notices.headReceived(attempt(old), new ServerNotice(200, false, true, 0));
    clock.advance(3_600_000);
    assertEquals(List.of(), remaining(old).servers());
    assertEquals(0, remaining(old).retryAfterMs());
    BackendServer restarted = server("a", 2);
    assertEquals(List.of(restarted), remaining(old, restarted).servers());
    assertEquals(1, changes.size());
  }

  @Test
  void closedServerOpensAtItsEnd() {
    BackendServer a = server("a", 1);
    BackendServer b = server("b", 1);
    notices.headReceived(attempt(a), backOff(2_000));
    assertEquals(List.of(b), remaining(a, b).servers());
    clock.advance(1_999);
    assertEquals(List.of(), remaining(a).servers());
    assertTrue(notices.backOffMs(a) > 0);
    clock.advance(1);
    assertEquals(List.of(a), remaining(a).servers());
    assertEquals(0, notices.backOffMs(a.address()));
  }

  /** Guards against an earlier end by a shorter statement, and against one without bound. */
  @Test
  void longestStatementCountsUpToTheBound() {
    BackendServer a = server("a", 1);
    notices.headReceived(attempt(a), backOff(5_000));
    notices.headReceived(attempt(a), backOff(100));
    assertEquals(5_000, notices.backOffMs(a));
    notices.headReceived(attempt(a), backOff(10_000_000_000L));
    assertEquals(ServerNotices.MAX_BACK_OFF_MS, notices.backOffMs(a));
  }

  /** Guards against callers who all return at the same moment. */
  @Test
  void retryDelaysOfCallersAreSpread() {
    BackendServer a = server("a", 1);
    BackendServer b = server("b", 1);
    notices.headReceived(attempt(a), backOff(4_000));
    notices.headReceived(attempt(b), backOff(1_000));
    long distinct =
        LongStream.range(0, 50)
            .map(i -> remaining(a, b).retryAfterMs())
            .peek(ms -> assertTrue(ms >= 1_000 && ms <= 1_250, "delay " + ms))
            .distinct()
            .count();
    assertTrue(distinct > 10);
  }

  /** Guards against the whole load returning at once to a server that was overloaded. */
  @Test
  void loadReturnsGradually() {
    BackendServer a = server("a", 1);
    notices.headReceived(attempt(a), backOff(1_000));
    clock.advance(1_000);
    int most = 0;
    for (int round = 0; round < 3; round++) {
      int admitted = 0;
      while (admitted < 100 && !remaining(a).servers().isEmpty()) {
        notices.started(attempt(a));
        admitted++;
      }
      assertTrue(admitted <= (1 << (2 * round)), "round " + round + " admitted " + admitted);
      most = admitted;
      for (int i = 0; i < admitted; i++) {
        notices.ended(attempt(a), new Ended(null, 200, false, 10));
      }
    }
    assertTrue(most >= 4);
    for (int i = 0; i < 30; i++) {
      assertEquals(List.of(a), remaining(a).servers());
      notices.started(attempt(a));
    }
  }

  /** Guards against calls that are withheld from a server that has stated nothing. */
  @Test
  void serverWithoutNoticeAcceptsCalls() {
    BackendServer a = server("a", 1);
    notices.started(attempt(a));
    assertEquals(0, notices.backOffMs(a));
    assertEquals(0, notices.backingOffCount());
  }

  /** Guards against a 200 with a delay, or a 503 without one, that closes a server. */
  @Test
  void otherResponsesCloseNothing() {
    BackendServer a = server("a", 1);
    notices.headReceived(attempt(a), new ServerNotice(200, false, false, 5_000));
    notices.headReceived(attempt(a), backOff(0));
    assertEquals(List.of(a), remaining(a).servers());
    assertEquals(List.of(), changes);
  }
}

package org.cowslipyoke.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.rollout.RolloutFleet.Behaviour;
import org.cowslipyoke.rollout.RolloutFleet.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays rollouts of good and bad versions to fleets of entries with uneven traffic. */
class RolloutFleetTest {

  private static final long DURATION_MS = 12_000;

  /** Time that suffices for the bound on exposure to cover all requests after the move. */
  private static final long LONG_MS = 20_000;

  private static final long BEFORE_MS = 2_000;

  /** Versions, and other faults while a version is rolled out. */
  enum Kind {
    GOOD,
    /** One server of the good version fails half of its requests. */
    GOOD_ONE_BAD_SERVER,
    /** The servers of the good version are slow for some seconds after their start. */
    GOOD_COLD_START,
    /** All servers of a failure domain fail for a while. */
    GOOD_DOMAIN_CUT,
    /** Both versions fail and slow down under a burst. */
    GOOD_BURST,
    FAILS(true),
    FAILS_RARELY(true),
    SLOW(true),
    LATE(true),
    LATE_SLOW(true),
    AFTER_LAST_STEP(true),
    /** Turns bad as all requests move, when no step is left to be taken. */
    AT_THE_MOVE(true),
    UNDER_LOAD(true),
    ONE_ROUTE(true),
    ONE_ROUTE_SLOW(true);

    final boolean bad;

    Kind() {
      this(false);
    }

    Kind(boolean bad) {
      this.bad = bad;
    }
  }

  private static Behaviour behaviour(Kind kind) {
    return (fleet, server, route, random) -> {
      Result sound = RolloutFleet.sound(random);
      long ageMs = fleet.orderMs < 0 ? -1 : fleet.now() - fleet.orderMs;
      if (!server.software().equals(RolloutFleet.TARGET)) {
        return old(kind, server, sound, ageMs, random);
      }
      double hit = random.nextDouble();
      return switch (kind) {
        case GOOD -> sound;
        case GOOD_ONE_BAD_SERVER ->
            new Result(server.id().equals(firstCanary(fleet)) && hit < 0.5, sound.ms());
        case GOOD_COLD_START ->
            new Result(sound.failed(), ageMs < 2_500 ? 4 * sound.ms() : sound.ms());
        case GOOD_DOMAIN_CUT, GOOD_BURST -> old(kind, server, sound, ageMs, random);
        case FAILS -> new Result(hit < 0.4, sound.ms());
        case FAILS_RARELY -> new Result(hit < 0.15, sound.ms());
        case SLOW -> new Result(sound.failed(), hit < 0.4 ? 5 * sound.ms() : sound.ms());
        case LATE -> new Result(ageMs > 7_000 && hit < 0.3, sound.ms());
        case LATE_SLOW ->
            new Result(sound.failed(), ageMs > 7_000 && hit < 0.4 ? 5 * sound.ms() : sound.ms());
        case AFTER_LAST_STEP -> {
          boolean last = fleet.isAt(RolloutStep.FINAL) || fleet.isAt(RolloutStep.SUCCEEDED);
          yield new Result(last && hit < 0.3, sound.ms());
        }
        case AT_THE_MOVE -> new Result(ageMs > DURATION_MS - 1_400 && hit < 0.3, sound.ms());
        case UNDER_LOAD -> new Result(fleet.running(server) > 2 && hit < 0.5, sound.ms());
        case ONE_ROUTE -> new Result(route.equals("b") && hit < 0.4, sound.ms());
        case ONE_ROUTE_SLOW ->
            new Result(
                sound.failed(), route.equals("b") && hit < 0.5 ? 5 * sound.ms() : sound.ms());
      };
    };
  }

  private static String firstCanary(RolloutFleet fleet) {
    return "i" + fleet.oldServers;
  }

  private static Result old(
      Kind kind, BackendServer server, Result sound, long ageMs, Random random) {
    boolean disturbed = ageMs > 5_000 && ageMs < 8_000;
    double hit = random.nextDouble();
    if (kind == Kind.GOOD_DOMAIN_CUT && disturbed && server.failureDomain().equals("d1")) {
      return new Result(hit < 0.7, sound.ms());
    }
    if (kind == Kind.GOOD_BURST && disturbed) {
      return new Result(hit < 0.1, 4 * sound.ms());
    }
    return sound;
  }

  static RolloutFleet fleet(int entries, Kind kind, long seed, double rate) {
    int servers = (int) (rate / 10);
    return new RolloutFleet(entries, servers, servers, rate, seed, behaviour(kind));
  }

  static RolloutFleet play(int entries, Kind kind, long seed, double rate) {
    RolloutFleet f = fleet(entries, kind, seed, rate);
    f.play(BEFORE_MS, s -> false);
    f.order(RolloutFleet.TARGET, DURATION_MS);
    f.play(
        DURATION_MS + 3_000,
        s -> {
          boolean disturbed = f.now() - f.orderMs > 5_000 && f.now() - f.orderMs < 8_000;
          f.burst = kind == Kind.GOOD_BURST && disturbed ? 3 : 1;
          return false;
        });
    return f;
  }

  /**
   * Guards against a bad version that gets more than its share of all requests, or requests long
   * after its 50th bad answer, and against a good version that is not in place in time.
   */
  @ParameterizedTest
  @CsvSource({"5,100,2", "28,342,2", "75,342,1"})
  void exposureIsBoundedAndGoodVersionsSucceed(int entries, double rate, long seeds) {
    for (Kind kind : Kind.values()) {
      for (long seed = 1; seed <= seeds; seed++) {
        RolloutFleet f = play(entries, kind, seed, rate);
        String what = kind + " entries " + entries + " seed " + seed + " " + f.summary();
        if (kind.bad) {
          assertBounded(f, what);
        } else {
          assertSucceeded(f, what);
        }
      }
    }
  }

  private static void assertBounded(RolloutFleet f, String what) {
    assertEquals(RolloutStep.ROLLED_BACK, f.row().step(), what);
    assertTrue(f.row().sinceMs() < f.deadlineMs, what);
    assertTrue(f.targetRequests <= f.bound(), what);
    assertTrue(f.lastTargetMs <= f.row().sinceMs() + RolloutFleet.REPORTED_MS, what);
    assertTrue(f.badAnswers < 50 || f.lastTargetMs - f.fiftiethBadMs < 1_000, what);
  }

  private static void assertSucceeded(RolloutFleet f, String what) {
    assertEquals(RolloutStep.SUCCEEDED, f.row().step(), what);
    assertTrue(f.row().sinceMs() <= f.deadlineMs - RolloutController.CLOSING_MS, what);
    assertEquals(0, f.oldRunningAtSuccess, what);
    assertEquals(0, f.sentToOldAfterSuccess, what);
    assertEquals(0, f.refused, what);
    assertEquals(1, f.steps.stream().filter(RolloutStep::isOver).count(), what);
  }

  /**
   * Guards against a version that turns bad after the success, which no verdict can prevent, and
   * then has had more than its share of the requests.
   */
  @ParameterizedTest
  @CsvSource({"5,100", "28,342", "75,342"})
  void versionThatTurnsBadAfterTheSuccessStaysWithinItsShare(int entries, double rate) {
    RolloutFleet f = fleet(entries, Kind.GOOD, 1, rate);
    f.play(BEFORE_MS, s -> false);
    f.order(RolloutFleet.TARGET, LONG_MS);
    f.play(LONG_MS + 1_000, s -> false);
    assertSucceeded(f, f.summary());
    assertTrue(f.targetRequests <= f.bound(), f.summary());
  }

  /**
   * Guards against a good version that is condemned because more of its answers than of the old
   * versions' fall into a burst.
   */
  @ParameterizedTest
  @CsvSource({"16", "18"})
  void goodVersionIsNotCondemnedByBurst(long seed) {
    RolloutFleet f = play(28, Kind.GOOD_BURST, seed, 342);
    assertSucceeded(f, f.summary());
  }

  /**
   * Guards against a rollout that starts over, moves twice or misses its end when its owner is
   * killed. The next owner has the lease after 2.2 s.
   */
  @ParameterizedTest
  @EnumSource(
      value = RolloutStep.class,
      names = {"CANARY", "WIDER", "FINAL"})
  void rolloutGoesOnAfterTheOwnerIsKilled(RolloutStep at) {
    for (Kind kind : List.of(Kind.GOOD, Kind.LATE)) {
      RolloutFleet f = fleet(28, kind, 1, 342);
      f.play(BEFORE_MS, s -> false);
      f.order(RolloutFleet.TARGET, DURATION_MS);
      f.play(DURATION_MS, s -> f.isAt(at));
      f.killOwner();
      f.play(DURATION_MS + 2_000, s -> false);
      String what = kind + " owner killed at " + at + " " + f.summary();
      assertEquals(f.steps.stream().distinct().toList(), f.steps, what);
      if (kind.bad) {
        assertBounded(f, what);
      } else {
        assertEquals(RolloutStep.SUCCEEDED, f.row().step(), what);
        assertTrue(f.row().sinceMs() <= f.deadlineMs, what);
        assertEquals(0, f.sentToOldAfterSuccess, what);
      }
    }
  }

  /** Guards against requests to a target whose state in the table is not known. */
  @ParameterizedTest
  @EnumSource(
      value = RolloutStep.class,
      names = {"CANARY", "WIDER", "FINAL"})
  void outageOfTheStorePutsTheRolloutOnHold(RolloutStep at) {
    for (Kind kind : List.of(Kind.GOOD, Kind.LATE)) {
      RolloutFleet f = fleet(28, kind, 1, 342);
      f.play(BEFORE_MS, s -> false);
      f.order(RolloutFleet.TARGET, DURATION_MS);
      f.play(DURATION_MS, s -> f.isAt(at));
      f.storeDown = true;
      f.play(RolloutTable.MAX_AGE_MS + 50, s -> false);
      long before = f.targetRequests;
      f.play(1_000, s -> false);
      String what = kind + " store down at " + at + " " + f.summary();
      assertEquals(before, f.targetRequests, what);
      f.storeDown = false;
      f.play(DURATION_MS, s -> false);
      assertTrue(f.row().step().isOver(), what);
      assertEquals(f.steps.stream().distinct().toList(), f.steps, what);
      assertTrue(at != RolloutStep.CANARY || kind.bad || succeeded(f), f.summary());
      assertTrue(!kind.bad || f.targetRequests <= f.bound(), f.summary());
    }
  }

  private static boolean succeeded(RolloutFleet f) {
    return f.row().step() == RolloutStep.SUCCEEDED && f.row().sinceMs() <= f.deadlineMs;
  }

  /** Guards against lost reports that raise the share of the target or hide its faults. */
  @ParameterizedTest
  @CsvSource({"0.3", "0.7", "1"})
  void lostReportsDoNotRaiseTheShare(double loss) {
    for (Kind kind : List.of(Kind.FAILS, Kind.LATE)) {
      RolloutFleet f = fleet(28, kind, 1, 342);
      f.reportLoss = loss;
      f.play(BEFORE_MS, s -> false);
      f.order(RolloutFleet.TARGET, DURATION_MS);
      f.play(DURATION_MS + 2_000, s -> false);
      String what = kind + " loss " + loss + " " + f.summary();
      assertEquals(RolloutStep.ROLLED_BACK, f.row().step(), what);
      assertTrue(f.targetRequests <= f.bound(), what);
    }
  }

  /** Guards against a rollout that an operator can't end, and against a target that comes back. */
  @ParameterizedTest
  @CsvSource({"''", "v3"})
  void removedOrChangedOrderEndsTheRollout(String next) {
    RolloutFleet f = fleet(5, Kind.GOOD, 1, 100);
    f.play(BEFORE_MS, s -> false);
    f.order(RolloutFleet.TARGET, DURATION_MS);
    f.play(4_000, s -> false);
    f.order(next, DURATION_MS);
    f.play(500, s -> false);
    long before = f.targetRequests;
    f.order(next, DURATION_MS);
    f.play(DURATION_MS + 2_000, s -> false);
    assertEquals(before, f.targetRequests, f.summary());
    assertTrue(f.steps.contains(RolloutStep.ROLLED_BACK), f.summary());
    assertEquals(0, f.refused, f.summary());
    assertFalse(f.steps.contains(RolloutStep.SUCCEEDED), f.summary());
  }
}

package org.cowslipyoke.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.cowslipyoke.ratelimit.RateFleet.Entry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays the rates that servers name to fleets of entries, without a network. */
class RateLimitsTest {

  private static final long WINDOW_MS = 4_000;
  private static final long CONTACT_MS = 3_000;
  private static final long SEED = 44;

  private static long allowed(double rate) {
    return Math.round(1.5 * rate * 4 + 5);
  }

  private static void assertWithin(RateFleet f, double rate, long sinceMs, List<Integer> excused) {
    long most = f.mostInWindow(f.server(0), sinceMs, WINDOW_MS, excused);
    assertTrue(most <= allowed(rate), most + " requests in 4 s, allowed " + allowed(rate));
  }

  /** Guards against both more than the rate and much less of it, for small and large fleets. */
  @ParameterizedTest
  @CsvSource({"1, 2", "5, 2", "5, 2.7", "33, 2", "33, 0.5", "33, 20", "75, 2"})
  void limitedServerGetsItsRate(int entries, double rate) {
    System.out.println("seed " + SEED);
    RateFleet f = new RateFleet(entries, 3, 60 + 3 * rate, SEED);
    f.run(6_000);
    long namedMs = f.clock.nowMs();
    f.rates.put(f.server(0), rate);
    f.run(20_000);
    assertWithin(f, rate, namedMs + CONTACT_MS, List.of());
    double got = f.perSecond(f.server(0), namedMs + CONTACT_MS);
    assertTrue(got >= 0.5 * rate, got + " a second");
    assertEquals(0, f.refused);
  }

  /** Guards against a limit that outlives the server's need. */
  @Test
  void limitEndsWhenServerNamesNoneAnyMore() {
    RateFleet f = new RateFleet(33, 3, 60, SEED);
    f.run(6_000);
    f.rates.put(f.server(0), 2.0);
    f.run(8_000);
    f.rates.remove(f.server(0));
    f.run(2_000);
    long sinceMs = f.clock.nowMs();
    f.run(4_000);
    assertTrue(f.perSecond(f.server(0), sinceMs) > 15);
  }

  /** Guards against an entry that is busy with granting what no server needs to limit. */
  @Test
  void excessiveRateIsNoLimit() {
    RateFleet f = new RateFleet(5, 3, 60, SEED);
    f.rates.put(f.server(0), 999_999_999.0);
    assertTimeoutPreemptively(Duration.ofSeconds(20), () -> f.run(4_000));
    assertTrue(f.perSecond(f.server(0), f.clock.nowMs() - 3_000) > 15);
  }

  /** Guards against permits of the earlier rate after a server has named a lower one. */
  @Test
  void lowerRateReplacesHigherOne() {
    RateFleet f = new RateFleet(33, 3, 90, SEED);
    f.run(6_000);
    f.rates.put(f.server(0), 10.0);
    f.run(8_000);
    f.rates.put(f.server(0), 2.0);
    f.run(CONTACT_MS);
    long sinceMs = f.clock.nowMs();
    f.run(10_000);
    assertWithin(f, 2, sinceMs, List.of());
  }

  /** Guards against requests that wait, or are sent, when no server has room for them. */
  @Test
  void excessIsRefusedWithRetryDelayIfAllServersAreLimited() {
    RateFleet f = new RateFleet(5, 3, 30, SEED);
    f.run(6_000);
    long namedMs = f.clock.nowMs();
    for (int i = 0; i < 3; i++) {
      f.rates.put(f.server(i), 2.0);
    }
    f.run(12_000);
    assertWithin(f, 2, namedMs + CONTACT_MS, List.of());
    assertTrue(f.refused > 0);
    assertTrue(f.retryAfterMs >= 500, "Retry-After " + f.retryAfterMs);
    double got = f.perSecond(f.server(0), namedMs + CONTACT_MS);
    assertTrue(got >= 1, got + " a second");
  }

  /** Guards against two entries that grant the same rate while others come, go, stop or are cut. */
  @ParameterizedTest
  @CsvSource({"5, 2", "33, 2", "33, 8"})
  void rateHoldsWhileEntriesComeAndGo(int entries, double rate) {
    System.out.println("seed " + SEED);
    for (int victim = 0; victim < entries; victim += Math.max(1, entries / 8)) {
      RateFleet f = new RateFleet(entries, 3, 60 + 3 * rate, SEED + victim);
      f.run(6_000);
      final long namedMs = f.clock.nowMs();
      f.rates.put(f.server(0), rate);
      f.run(5_000);
      Entry e = f.entries.get(victim);
      e.up = false;
      f.run(3_000);
      e.up = true;
      f.run(4_000);
      e.up = false;
      f.run(3_000);
      f.updateMembers();
      f.run(3_000);
      e.restart();
      f.run(4_000);
      e.cut = true;
      f.run(4_000);
      e.cut = false;
      f.run(6_000);
      assertWithin(f, rate, namedMs + CONTACT_MS, List.of(victim));
    }
  }

  /** Guards against entries that lose touch and each send the rate, or nothing. */
  @Test
  void isolatedEntriesStayWithinTheRate() {
    RateFleet f = new RateFleet(4, 3, 60, SEED);
    f.run(6_000);
    f.entries.forEach(e -> e.cut = true);
    f.rates.put(f.server(0), 2.0);
    f.run(8_000);
    long sinceMs = f.clock.nowMs();
    f.run(10_000);
    double got = f.perSecond(f.server(0), sinceMs);
    assertTrue(got >= 1, got + " a second");
    assertWithin(f, 2, sinceMs, List.of());
  }
}

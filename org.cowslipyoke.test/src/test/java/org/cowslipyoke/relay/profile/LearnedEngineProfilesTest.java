package org.cowslipyoke.relay.profile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.cowslipyoke.relay.AttemptObserver.Attempt;
import org.cowslipyoke.relay.EngineProfile;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.profile.EngineSimulation.Engine;
import org.cowslipyoke.relay.profile.EngineSimulation.Engines;
import org.cowslipyoke.relay.profile.EngineSimulation.Entry;
import org.cowslipyoke.relay.profile.EngineSimulation.Sample;
import org.junit.jupiter.api.Test;

/** Learns the engines of three deployments in simulated time, beside the fixed profile. */
class LearnedEngineProfilesTest {

  private static final long SEED = 20_261_206;

  /** Engines of the first users, which the initial profile describes. */
  private static final Engines FIRST = new Engines(74.8, 1_024, 4.84, 0.0725, 70);

  private static final Engines DENSE = new Engines(41.4, 2_048, 4.63, 0.0116, 2);
  private static final Engines SPARSE = new Engines(91.8, 1_024, 3.9, 0.0473, 53);

  private static final int ENTRIES = 6;
  private static final int ENGINE_COUNT = 9;
  private static final double PER_SECOND = 60;

  private static EngineSimulation simulation(Engines kind, double spread) {
    EngineSimulation s = new EngineSimulation(kind, ENTRIES, ENGINE_COUNT, spread, SEED);
    s.traffic(PER_SECOND);
    return s;
  }

  /** Errors of one kind of estimate: the median and the 90th percentile of real over expected. */
  private record Errors(double median, double p90) {

    static Errors of(List<Sample> samples, ToDoubleFunction<Sample> expectedMs) {
      double[] r =
          samples.stream()
              .mapToDouble(s -> s.tookMs() / expectedMs.applyAsDouble(s))
              .sorted()
              .toArray();
      return new Errors(r[r.length / 2], r[r.length * 9 / 10]);
    }
  }

  private static List<Sample> after(EngineSimulation s, long ms, Predicate<Sample> which) {
    long fromMs = s.samples.get(0).atMs() + ms;
    return s.samples.stream().filter(x -> x.atMs() >= fromMs).filter(which).toList();
  }

  private static boolean isShort(Sample s) {
    return s.fixedMs() < 110;
  }

  private static Errors learned(List<Sample> samples) {
    return Errors.of(samples, Sample::learnedMs);
  }

  private static Errors fixed(List<Sample> samples) {
    return Errors.of(samples, Sample::fixedMs);
  }

  private static void assertNear(double expected, double actual, double within, String text) {
    assertTrue(Math.abs(expected - actual) <= within, text + " " + actual + " seed " + SEED);
  }

  /** Guards against refusing or queueing prompts by the speed of other users' engines. */
  @Test
  void learnsEnginesThatDifferFromTheInitialProfile() {
    for (Engines kind : List.of(DENSE, SPARSE)) {
      EngineSimulation s = simulation(kind, 1);
      s.run(10_000);
      for (boolean shortOnes : new boolean[] {true, false}) {
        List<Sample> all = after(s, 4_000, x -> isShort(x) == shortOnes);
        Errors now = learned(all);
        Errors before = fixed(all);
        String text = kind + " short " + shortOnes + " learned " + now + " fixed " + before;
        assertNear(1, now.median(), 0.12, text);
        assertTrue(now.p90() < 1.5, text);
        assertTrue(Math.abs(now.median() - 1) < Math.abs(before.median() - 1), text);
      }
    }
  }

  /** Guards against learning that makes a correct initial profile worse. */
  @Test
  void keepsAnInitialProfileThatIsRight() {
    EngineSimulation s = simulation(FIRST, 1);
    s.run(10_000);
    List<Sample> all = after(s, 2_000, x -> true);
    assertNear(1, learned(all).median(), 0.1, learned(all) + " fixed " + fixed(all));
    assertTrue(learned(all).p90() <= fixed(all).p90() + 0.15, learned(all) + " " + fixed(all));
  }

  /** Guards against treating engines alike that differ by a factor of 1.3. */
  @Test
  void tellsSlowerServersApart() {
    EngineSimulation s = simulation(DENSE, 1.3);
    s.run(15_000);
    for (Entry e : s.entries) {
      double usual = msOfPrompt(e, s.engines.get(0));
      double slower = msOfPrompt(e, s.engines.get(2));
      assertNear(1.3, slower / usual, 0.15, "ratio of the servers' profiles");
    }
  }

  private static double msOfPrompt(Entry e, Engine engine) {
    return e.profiles.of(engine.server).firstTokenMs(2_000, 0, 5);
  }

  /** Guards against a profile that pauses of 600 ms or a factor of 2.5 distort for good. */
  @Test
  void isRobustAgainstServersThatAreSlowAtTimes() {
    EngineSimulation s = simulation(SPARSE, 1);
    s.slowAtRandom(2.5, 0.15, 600);
    s.run(15_000);
    List<Sample> all = after(s, 4_000, x -> true);
    Errors now = learned(all);
    assertNear(1, now.median(), 0.12, now + " fixed " + fixed(all));
    assertTrue(now.p90() < 2, now + " fixed " + fixed(all));
  }

  /** Guards against sending prompts to a paused server for longer than a second. */
  @Test
  void seesSlowServerWithinOneSecondAndTrustsItAgain() {
    for (double factor : new double[] {4, 1_000}) {
      EngineSimulation s = simulation(SPARSE, 1);
      s.run(6_000);
      Engine slow = s.engines.get(0);
      slow.slowNow = factor;
      s.run(1_000);
      assertTrue(slowness(s, slow) >= 2, slowness(s, slow) + " factor " + factor + " " + SEED);
      assertNear(1, slowness(s, s.engines.get(1)), 0.3, "another server");
      slow.slowNow = 1;
      slow.restart();
      s.run(2_500);
      assertNear(1, slowness(s, slow), 0.3, "after the pause, factor " + factor);
    }
  }

  /** Returns the median over the entries of how slow a server is now. */
  private static double slowness(EngineSimulation s, Engine e) {
    double[] all =
        s.entries.stream().mapToDouble(x -> x.profiles.of(e.server).slowdown()).sorted().toArray();
    return all[all.length / 2];
  }

  /** Guards against avoiding a server, or changing a model, because of a single slow request. */
  @Test
  void oneOutlierChangesLittle() {
    EngineSimulation s = simulation(FIRST, 1);
    s.run(5_000);
    Entry e = s.entries.get(0);
    Engine engine = s.engines.get(0);
    final double before = msOfPrompt(e, engine);
    s.finishLate(e, engine, 5_000);
    assertEquals(1, e.profiles.of(engine.server).slowdown(), 1e-9);
    s.run(300);
    assertNear(before, msOfPrompt(e, engine), 0.1 * before, "expected time");
  }

  /** Guards against learning from errors, repeated attempts and waits that aren't prefill. */
  @Test
  void ignoresTimesThatSayNothingAboutTheEngine() {
    EngineSimulation s = new EngineSimulation(FIRST, 1, 3, 1, SEED);
    Entry e = s.entries.get(0);
    Engine engine = s.engines.get(0);
    final double before = msOfPrompt(e, engine);
    for (int i = 0; i < 100; i++) {
      s.run(1_000);
      s.finish(e, sent(s, engine, 1, 80), 503);
      s.finish(e, sent(s, engine, 2, 80), 200);
      s.finish(e, sent(s, engine, 1, 900), 200);
    }
    s.run(1_000);
    assertEquals(before, msOfPrompt(e, engine), 1e-9, "seed " + SEED);
  }

  /** Returns an attempt sent 800 ms ago. */
  private static Attempt sent(EngineSimulation s, Engine to, int ordinal, double expectedMs) {
    Attempt a = s.attempt(to, 500, s.clock.nowMs() - 800, Load.NONE, expectedMs);
    return new Attempt(
        a.requestId(), a.route(), a.service(), a.server(), a.plan(), ordinal, a.startMs());
  }

  /** Guards against an entry that starts with the initial profile while others know better. */
  @Test
  void startedEntryHasTheProfileOfOthersWithinOneSecond() {
    for (double lost : new double[] {0, 0.3}) {
      EngineSimulation s = simulation(DENSE, 1.3);
      s.run(8_000);
      s.lostReports = lost;
      Entry started = s.startEntry("new");
      s.run(1_300);
      double other = msOfPrompt(s.entries.get(0), s.engines.get(2));
      double own = msOfPrompt(started, s.engines.get(2));
      assertNear(other, own, 0.15 * other, "expected time of the new entry, lost " + lost);
    }
  }

  /** Guards against one faulty entry that decides what the others expect. */
  @Test
  void oneWrongReportHasBoundedInfluence() {
    EngineSimulation s = simulation(FIRST, 1);
    s.run(5_000);
    Entry e = s.entries.get(0);
    final double before = msOfPrompt(e, s.engines.get(0));
    LearnedModel wrong =
        new LearnedModel(List.of(8.0, 8.0, 4.0, 8.0, 8.0), 1e9, List.of(9.0, 9.0, 9.0), 1e9);
    List<ProfileDigest.ServerDigest> slow =
        s.engines.stream().map(x -> new ProfileDigest.ServerDigest(key(x), 99, 1e9, 1e9)).toList();
    e.profiles.accept(new ProfileDigest("bad", 1, 1, Map.of("engines", wrong), slow));
    s.run(300);
    EngineProfile p = e.profiles.of(s.engines.get(0).server);
    assertTrue(p.slowdown() <= 2, p + " seed " + SEED);
    assertNear(before, p.firstTokenMs(2_000, 0, 5) / p.slowdown(), 0.2 * before, "expected time");
  }

  private static int key(Engine e) {
    return e.server.incarnation().hashCode();
  }
}

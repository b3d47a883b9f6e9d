package org.cowslipyoke.relay;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.cowslipyoke.relay.AdmissionSimulation.Kind;
import org.cowslipyoke.relay.AdmissionSimulation.Setting;
import org.cowslipyoke.relay.AdmissionSimulation.Tally;
import org.junit.jupiter.api.Test;

class PromptAdmissionTest {

  private static Tally of(Map<Kind, Tally> results, Kind k) {
    return requireNonNull(results.get(k));
  }

  private static String text(Map<Kind, Tally> now, Map<Kind, Tally> before) {
    return now + " before: " + before + " seed " + AdmissionSimulation.SEED;
  }

  private static void checkBurst(Setting setting, double digestsPerSecond, double asksPerSecond) {
    Kind digest = new Kind("a", 2, 1_200, 9_000, digestsPerSecond);
    Kind ask = new Kind("a", 0, 400, 830, asksPerSecond);
    var now = AdmissionSimulation.play(setting, digest, ask);
    var before = AdmissionSimulation.play(setting.replacedDecision(), digest, ask);
    System.out.println(text(now, before));
    assertTrue(of(now, ask).onTime() >= 0.95, text(now, before));
    assertTrue(of(now, ask).onTime() > of(before, ask).onTime() + 0.2, text(now, before));
    int digests = of(before, digest).inTime;
    assertTrue(of(now, digest).inTime >= 0.8 * digests, text(now, before));
  }

  /**
   * Long prompts of low urgency arrive at 1.2 times the rate that the engines which still answer
   * can prefill. Guards against refusing the urgent ones in their favour.
   */
  @Test
  void urgentPromptsAreInTimeInBurstOfOthers() {
    checkBurst(new Setting(5, 9, 2, 0, false), 50, 42);
  }

  @Test
  void urgentPromptsAreInTimeInBurstOfOthersAtManyEntries() {
    checkBurst(new Setting(29, 45, 9, 0, false), 250, 217);
  }

  /** Half of the reports are lost: entries overshoot, but the order of urgency holds. */
  @Test
  void urgentPromptsAreServedWhenReportsAreLost() {
    Kind digest = new Kind("a", 2, 1_200, 9_000, 250);
    Kind ask = new Kind("a", 0, 400, 830, 217);
    Setting lost = new Setting(29, 45, 9, 0.5, false);
    var now = AdmissionSimulation.play(lost, digest, ask);
    var none = AdmissionSimulation.play(new Setting(29, 45, 9, 1, false), digest, ask);
    System.out.println("half lost " + now + " all lost " + none);
    assertTrue(of(now, ask).onTime() >= 0.8, now + " seed " + AdmissionSimulation.SEED);
    assertTrue(of(none, ask).served() >= 0.8, none + " seed " + AdmissionSimulation.SEED);
  }

  /** Guards against an organisation that takes the room of a smaller one by asking for more. */
  @Test
  void smallOrganisationKeepsItsShareBesideLargeOne() {
    Kind large = new Kind("large", 2, 1_200, 9_000, 60);
    Kind small = new Kind("small", 2, 1_200, 9_000, 4);
    Setting setting = new Setting(5, 7, 0, 0, false);
    var now = AdmissionSimulation.play(setting, large, small);
    var before = AdmissionSimulation.play(setting.replacedDecision(), large, small);
    System.out.println(text(now, before));
    assertTrue(of(now, small).served() >= 0.95, text(now, before));
    assertTrue(of(now, small).onTime() > of(before, small).onTime(), text(now, before));
    assertTrue(of(now, large).inTime >= 0.8 * of(before, large).inTime, text(now, before));
  }

  /** Guards against refusing the largest prompts of a kind while shorter ones are served. */
  @Test
  void largestPromptsAreServedAtLeastHalfAsOften() {
    Kind usual = new Kind("a", 2, 1_200, 7_000, 55);
    Kind largest = new Kind("a", 2, 1_200, 26_000, 6);
    Setting setting = new Setting(5, 9, 1, 0, false);
    var now = AdmissionSimulation.play(setting, usual, largest);
    var before = AdmissionSimulation.play(setting.replacedDecision(), usual, largest);
    System.out.println(text(now, before));
    Tally all = of(now, usual);
    assertTrue(of(now, largest).served() >= 0.5 * all.served(), text(now, before));
  }

  /** Guards against refusals or waiting while engines have room. */
  @Test
  void everyPromptRunsAtOnceBelowCapacity() {
    Kind digest = new Kind("a", 2, 1_200, 9_000, 15);
    Kind ask = new Kind("b", 0, 400, 830, 42);
    var now = AdmissionSimulation.play(new Setting(5, 9, 0, 0, false), digest, ask);
    assertEquals(0, of(now, digest).refused + of(now, ask).refused, now.toString());
    assertTrue(of(now, digest).onTime() >= 0.95 && of(now, ask).onTime() >= 0.95, now.toString());
  }

  /**
   * The urgent prompts stay in memory for 4 s and the others need more than the rest of it, with
   * prefill to spare. Guards against engines that preempt long prompts and prefill them again.
   */
  @Test
  void longPromptsWaitForMemoryInsteadOfBeingPreempted() {
    Kind digest = new Kind("a", 2, 1_200, 9_000, 30, 1_000);
    Kind ask = new Kind("a", 0, 400, 830, 72, 4_000);
    Setting setting = new Setting(5, 9, 0, 0, false);
    var now = AdmissionSimulation.play(setting, digest, ask);
    var before = AdmissionSimulation.play(setting.withUnknownMemory(), digest, ask);
    System.out.println(text(now, before));
    assertTrue(of(now, digest).preempted <= 0.2 * of(before, digest).preempted, text(now, before));
    assertTrue(of(now, digest).inTime >= 0.8 * of(before, digest).inTime, text(now, before));
    assertTrue(of(now, ask).onTime() >= 0.95, text(now, before));
  }

  @Test
  void sharesAreMaxMinFair() {
    assertEquals(40, OrganisationShares.level(new double[] {10, 100, 100}, 90));
    assertEquals(Double.MAX_VALUE, OrganisationShares.level(new double[] {10, 20}, 30));
  }
}

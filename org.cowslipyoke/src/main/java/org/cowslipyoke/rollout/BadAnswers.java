package org.cowslipyoke.rollout;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Bad answers and all answers, by failure domain or server of the target and for the old versions
 * together.
 */
final class BadAnswers {

  private final Map<String, long[]> groups = new HashMap<>();
  private long oldBad;
  private long oldAnswers;

  void addTarget(String group, long bad, long answers) {
    long[] c = groups.computeIfAbsent(group, s -> new long[2]);
    c[0] += bad;
    c[1] += answers;
  }

  void addOld(long bad, long answers) {
    oldBad += bad;
    oldAnswers += answers;
  }

  void add(BadAnswers o) {
    o.groups.forEach((s, c) -> addTarget(s, c[0], c[1]));
    addOld(o.oldBad, o.oldAnswers);
  }

  /** Returns the bad answers of the target. */
  long bad() {
    return groups.values().stream().mapToLong(c -> c[0]).sum();
  }

  /** Returns the answers of the target. */
  long answers() {
    return groups.values().stream().mapToLong(c -> c[1]).sum();
  }

  /** Returns the fraction of bad answers of the old versions. */
  double oldFraction() {
    return oldAnswers > 0 ? (double) oldBad / oldAnswers : 0;
  }

  /** Returns the counts without the group of the target that has most bad answers. */
  BadAnswers withoutWorst() {
    String worst = "";
    long most = -1;
    for (var e : groups.entrySet()) {
      if (e.getValue()[0] > most) {
        most = e.getValue()[0];
        worst = e.getKey();
      }
    }
    BadAnswers rest = new BadAnswers();
    rest.add(this);
    rest.groups.remove(worst);
    return rest;
  }

  /** Returns whether the target's fraction is higher by at least the given difference. */
  boolean exceeds(double difference) {
    return bad() > (oldFraction() + difference) * answers();
  }

  /** Returns whether a difference by chance is less likely than {@code alpha}. */
  boolean differs(double alpha) {
    return FisherTest.tail(bad(), answers(), oldBad, oldAnswers) < alpha;
  }

  String describe(String what, String route) {
    return String.format(
        Locale.ROOT,
        "%s on route %s: %d of %d, old versions %d of %d",
        what,
        route,
        bad(),
        answers(),
        oldBad,
        oldAnswers);
  }
}

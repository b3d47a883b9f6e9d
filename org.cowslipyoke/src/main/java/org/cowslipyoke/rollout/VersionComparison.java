package org.cowslipyoke.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.BackendServer;

/**
 * Comparison of the target version with the old ones, which were served at the same time, by
 * one-sided exact tests for each route and for all routes, of the last seconds and since the order.
 */
final class VersionComparison {

  /** Minimum difference between the fractions of slow answers. */
  static final double MIN_SLOW_EXCESS = 0.1;

  /**
   * Bad answers without the worst failure domain or server at which the target is stopped whatever
   * the tests say. The platform counts from the 50th; answers on the way and lost reports need the
   * margin.
   */
  static final int MAX_BAD = 20;

  /** Limit at the old versions' own fraction of bad answers, as a multiple of it. */
  private static final double MAX_BAD_FACTOR = 1.5;

  /**
   * Probability of a difference by chance without the worst failure domain or server of the target.
   */
  private static final double ALPHA_WITHOUT_WORST = 0.02;

  /** Fractions of the old versions' answers that lie above the limits for slow ones. */
  private static final double[] SLOW_FRACTIONS = {0.1, 0.02};

  /** Timed answers of the old versions below which times are not compared. */
  private static final int MIN_OLD_TIMED = 30;

  /** Answers of the old versions in the recent span below which those since the order are used. */
  private static final int MIN_OLD_RECENT = 50;

  /** Answers, one of them failed, that are added to those of the old versions. */
  private static final int PRIOR_ANSWERS = 100;

  /**
   * Buckets by which slow answers must be slower when all requests have just moved, because load
   * and cold caches change at the same time.
   */
  private static final int ALL_MOVED_BUCKETS = 2;

  private static final String ALL_ROUTES = "all";

  /**
   * Returns the bucket by route above which a time counts as slow in every test, for routes with
   * enough answers of the old versions.
   */
  static Map<String, Integer> slowLimits(Evidence e) {
    Map<String, Integer> limits = e.oldLimits(SLOW_FRACTIONS[1], MIN_OLD_TIMED);
    limits.replaceAll((route, bucket) -> bucket + ALL_MOVED_BUCKETS);
    return limits;
  }

  /**
   * Thresholds of the tests.
   *
   * @param alphaFailures probability of a difference of failures by chance
   * @param alphaTimes the same for times, which depend on more than the version
   * @param minFailures minimum number of failures
   * @param minSlow minimum number of slow answers
   */
  private record Thresholds(
      double alphaFailures, double alphaTimes, int minFailures, int minSlow) {}

  /**
   * Slow answers come together, for example at the end of a burst in which the target had more
   * requests than after it, so more of them are needed than of failures.
   */
  private static final Thresholds FAULT = new Thresholds(1e-5, 3e-5, 4, 6);

  /** Thresholds of a difference that only delays the step to all requests. */
  private static final Thresholds SUSPICION = new Thresholds(3e-3, 3e-3, 2, 2);

  /**
   * Thresholds of such a difference since the order: a route with little traffic has only some
   * answers in all. It would not pass like a recent one, so it must be less likely by chance.
   */
  private static final Thresholds LASTING_SUSPICION = new Thresholds(1e-3, 1e-3, 2, 2);

  private final Evidence evidence;
  private final long nowMs;
  private final boolean allMoved;

  /** Whether the target has one server, whose faults are then taken for those of the version. */
  private final boolean single;

  /** Failure domain of each server of the target; empty if all are in one. */
  private final Map<String, String> domains;

  /**
   * Creates a comparison.
   *
   * @param allMoved whether all requests go to the target
   * @param targets servers of the target that may get work
   */
  VersionComparison(Evidence evidence, long nowMs, boolean allMoved, List<BackendServer> targets) {
    this.evidence = evidence;
    this.nowMs = nowMs;
    this.allMoved = allMoved;
    this.single = targets.size() <= 1;
    Map<String, String> domains = new HashMap<>();
    targets.forEach(t -> domains.put(t.incarnation(), t.failureDomain()));
    this.domains = new HashSet<>(domains.values()).size() > 1 ? domains : Map.of();
  }

  Verdict verdict() {
    Tally target = evidence.sum(true);
    Tally old = evidence.sum(false);
    String fault = "";
    boolean suspected = false;
    if (target.answers() > 0) {
      Map<Series, Tally> recent = evidence.recent(nowMs);
      fault = fault(recent, FAULT);
      fault = fault.isEmpty() ? fault(evidence.total(), FAULT) : fault;
      suspected =
          !fault.isEmpty()
              || !fault(recent, SUSPICION).isEmpty()
              || !fault(evidence.total(), LASTING_SUSPICION).isEmpty();
    }
    return new Verdict(
        fault, suspected, target.answers(), target.failures(), old.answers(), old.failures());
  }

  private String fault(Map<Series, Tally> span, Thresholds x) {
    BadAnswers failures = new BadAnswers();
    BadAnswers[] slow = new BadAnswers[SLOW_FRACTIONS.length];
    for (int i = 0; i < slow.length; i++) {
      slow[i] = new BadAnswers();
    }
    for (String route : evidence.routes()) {
      BadAnswers f = failures(route, span);
      if (isFaulty(f, 0, x.alphaFailures(), x.minFailures())) {
        return f.describe("failures", route);
      }
      failures.add(f);
      for (int i = 0; i < slow.length; i++) {
        BadAnswers s = slow(route, span, SLOW_FRACTIONS[i]);
        if (isFaulty(s, MIN_SLOW_EXCESS, x.alphaTimes(), x.minSlow())) {
          return s.describe("slow answers", route);
        }
        slow[i].add(s);
      }
    }
    if (isFaulty(failures, 0, x.alphaFailures(), x.minFailures())) {
      return failures.describe("failures", ALL_ROUTES);
    }
    for (BadAnswers s : slow) {
      if (isFaulty(s, MIN_SLOW_EXCESS, x.alphaTimes(), x.minSlow())) {
        return s.describe("slow answers", ALL_ROUTES);
      }
    }
    return isOverLimit(failures, slow[slow.length - 1])
        ? failures.describe("failures and slow answers", ALL_ROUTES)
        : "";
  }

  private Tally old(String route, Map<Series, Tally> span) {
    Series series = new Series(route, "");
    Tally recent = span.getOrDefault(series, new Tally());
    return recent.answers() < MIN_OLD_RECENT
        ? evidence.total().getOrDefault(series, new Tally())
        : recent;
  }

  private BadAnswers failures(String route, Map<Series, Tally> span) {
    BadAnswers c = new BadAnswers();
    span.forEach(
        (s, t) -> {
          if (s.isTarget() && s.route().equals(route)) {
            c.addTarget(domains.getOrDefault(s.server(), s.server()), t.failures(), t.answers());
          }
        });
    Tally old = old(route, span);
    c.addOld(old.failures() + 1, old.answers() + PRIOR_ANSWERS);
    return c;
  }

  private BadAnswers slow(String route, Map<Series, Tally> span, double fraction) {
    BadAnswers c = new BadAnswers();
    Tally old = old(route, span);
    if (old.timed() < MIN_OLD_TIMED) {
      return c;
    }
    Tally all = evidence.total().getOrDefault(new Series(route, ""), old);
    int limit = all.quantileBucket(fraction) + (allMoved ? ALL_MOVED_BUCKETS : 0);
    span.forEach(
        (s, t) -> {
          if (s.isTarget() && s.route().equals(route)) {
            c.addTarget(domains.getOrDefault(s.server(), s.server()), t.above(limit), t.timed());
          }
        });
    c.addOld(old.above(limit), old.timed());
    return c;
  }

  private boolean isFaulty(BadAnswers c, double minExcess, double alpha, int minBad) {
    if (c.bad() < minBad || !c.exceeds(minExcess) || !c.differs(alpha)) {
      return false;
    }
    if (single) {
      return true;
    }
    BadAnswers rest = c.withoutWorst();
    return rest.bad() >= minBad / 2
        && rest.exceeds(minExcess)
        && rest.differs(Math.max(alpha, ALPHA_WITHOUT_WORST));
  }

  private boolean isOverLimit(BadAnswers failures, BadAnswers slow) {
    BadAnswers f = single ? failures : failures.withoutWorst();
    BadAnswers s = single ? slow : slow.withoutWorst();
    double expected = f.oldFraction() * f.answers() + s.oldFraction() * s.answers();
    return f.bad() + s.bad() >= MAX_BAD + MAX_BAD_FACTOR * expected;
  }
}

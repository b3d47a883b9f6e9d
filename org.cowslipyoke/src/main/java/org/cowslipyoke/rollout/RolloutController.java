package org.cowslipyoke.rollout;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Decides the next state of a rollout, for the entry that owns it. */
public final class RolloutController {

  /** Share of the first step, as a fraction of the bound on exposure. */
  static final double MIN_SHARE = 0.2;

  /** Maximum share before all requests are moved, as a fraction of the bound on exposure. */
  static final double MAX_SHARE = 0.8;

  /**
   * Fraction of the bound on exposure that is kept for all requests between the move and the
   * deadline, because a version may turn bad only then. The canary requests use the rest.
   */
  static final double MOVED_FRACTION = 0.5;

  /**
   * Minimum time between the move of all requests and the deadline, in milliseconds: 800 ms for the
   * requests at old servers to end, and {@link #CLOSING_MS}.
   */
  static final long MOVED_MIN_MS = 1_400;

  /**
   * Time between a fault after the move and the last request to the target, in milliseconds. Two
   * reports and the answers themselves. With little time the bound on exposure has to suffice at
   * least for that.
   */
  static final long DETECTION_MS = 700;

  /**
   * Minimum share of {@link RolloutStep#WIDER}, as a fraction of the bound on exposure, with which
   * all requests after the move are kept free; with less the evidence would be too weak.
   */
  static final double MIN_EVIDENCE = 0.3;

  /** Maximum of that time in milliseconds; the platform's longest answers take a few seconds. */
  static final long MOVED_MAX_MS = 10_000;

  /** Maximum of that time as a fraction of the time of a rollout. */
  static final double MOVED_MAX_FRACTION = 0.2;

  /** Fraction of the slack that the initial allowances of the entries leave on average. */
  static final double SLACK_LEFT = 0.5;

  /** Fraction of the bound on exposure at which a suspicion ends the last step. */
  static final double EXHAUSTED = 0.8;

  /** Minimum duration of {@link RolloutStep#CANARY}, and after the move, in milliseconds. */
  static final long MIN_STEP_MS = 1_000;

  /** Answers of the target that end {@link RolloutStep#CANARY}. */
  static final int CANARY_ANSWERS = 8;

  /** Fraction of the time of a rollout after which fewer sound answers end that step. */
  static final double CANARY_MAX_FRACTION = 0.15;

  /** Answers of the target without which not all requests are moved. */
  static final int FINAL_ANSWERS = 20;

  /** Answers that the share aims at, as a multiple of {@link #FINAL_ANSWERS}. */
  static final double ANSWERS_MARGIN = 1.5;

  /**
   * Minimum time between the start of {@link RolloutStep#FINAL} and the deadline, in milliseconds;
   * a new owner needs 2.2 s to replace a killed one.
   */
  static final long FINAL_MIN_MS = 2_500;

  /** Minimum time for the entries to learn when all requests move, in milliseconds. */
  static final long ANNOUNCED_MS = 500;

  /**
   * Time before the deadline before which the rollout does not succeed, in milliseconds. The old
   * servers stop at the success, so a fault that shows later can't be undone.
   */
  static final long SUCCESS_MS = 1_000;

  /**
   * Time before the deadline at which the rollout succeeds although requests still run at old
   * servers, in milliseconds. It allows for one retry of the write.
   */
  static final long CLOSING_MS = 500;

  /** Interval of the owner's decisions, in milliseconds. */
  static final long DECISION_MS = 100;

  /**
   * What the owner knows.
   *
   * @param nowMs time of the table's clock
   * @param orderedMs lower bound of the time of the order by that clock
   * @param versions versions of the listed servers of the service
   * @param verdict comparison of the versions
   * @param halted why entries have stopped using the target, empty if they have not
   * @param drained whether all live entries apply the last step and run nothing at old servers
   * @param requests requests of the fleet since the order, as far as known
   * @param targetRequests those of them that went to the target
   */
  public record Situation(
      long nowMs,
      long orderedMs,
      Set<String> versions,
      Verdict verdict,
      String halted,
      boolean drained,
      long requests,
      long targetRequests) {}

  private final RolloutBounds bounds;

  /** Creates a controller. */
  public RolloutController(RolloutBounds bounds) {
    this.bounds = bounds;
  }

  /** Returns the next state, empty if the current one remains. */
  public Optional<RolloutState> next(
      @Nullable RolloutState s, @Nullable RolloutOrder order, Situation x) {
    if (s == null || s.step().isOver()) {
      return begin(s, order, x);
    }
    if (order == null) {
      return Optional.of(rolledBack(s, x, "the order was removed").close());
    }
    if (!order.target().equals(s.target())) {
      return Optional.of(rolledBack(s, x, "the target was changed to " + order.target()));
    }
    String fault = x.halted().isEmpty() ? x.verdict().fault() : x.halted();
    if (!fault.isEmpty()) {
      return Optional.of(rolledBack(s, x, fault));
    }
    if (order.durationMs() != s.durationMs()) {
      return Optional.of(s.withDuration(order.durationMs()));
    }
    return s.step() == RolloutStep.FINAL ? end(s, x) : move(s, x);
  }

  private static RolloutState rolledBack(RolloutState s, Situation x, String reason) {
    return s.withStep(RolloutStep.ROLLED_BACK, 0, x.nowMs(), reason);
  }

  private Optional<RolloutState> begin(
      @Nullable RolloutState s, @Nullable RolloutOrder order, Situation x) {
    if (order == null) {
      return s == null || s.closed() ? Optional.empty() : Optional.of(s.close());
    }
    if (s != null && !s.closed() && s.target().equals(order.target())) {
      return Optional.empty();
    }
    Set<String> rejected = new TreeSet<>(s == null ? Set.of() : s.rejected());
    if (s != null && s.step() == RolloutStep.ROLLED_BACK) {
      rejected.add(s.target());
    }
    rejected.remove(order.target());
    rejected.retainAll(x.versions());
    Set<String> old = new TreeSet<>(x.versions());
    old.removeAll(rejected);
    boolean present = old.remove(order.target());
    boolean done = present && old.isEmpty();
    return Optional.of(
        new RolloutState(
            order.service(),
            order.target(),
            Set.copyOf(old),
            Set.copyOf(rejected),
            done ? RolloutStep.SUCCEEDED : RolloutStep.CANARY,
            done ? 1 : MIN_SHARE * bounds.share(),
            x.orderedMs(),
            order.durationMs(),
            x.nowMs(),
            done ? "all servers have the version" : "",
            false,
            ""));
  }

  private Optional<RolloutState> move(RolloutState s, Situation x) {
    long left = s.deadlineMs() - x.nowMs();
    if (left <= 0) {
      boolean listed = x.versions().contains(s.target());
      String reason = listed ? "too few answers to decide on" : "no server has the version";
      return Optional.of(rolledBack(s, x, reason));
    }
    if (x.nowMs() >= finalMs(s, x) && left > CLOSING_MS && isProved(s, x)) {
      long moveMs = Math.max(x.nowMs(), s.deadlineMs() - movedMs(s, x));
      return Optional.of(s.withStep(RolloutStep.FINAL, s.share(), moveMs, ""));
    }
    if (s.step() == RolloutStep.CANARY && hasAnswered(s, x)) {
      return Optional.of(s.withStep(RolloutStep.WIDER, widerShare(s, x), x.nowMs(), ""));
    }
    return Optional.empty();
  }

  /**
   * Returns whether the target has answered enough for a larger share. With little traffic or time
   * the first share would take too long to get {@link #CANARY_ANSWERS}.
   */
  private static boolean hasAnswered(RolloutState s, Situation x) {
    long lastedMs = x.nowMs() - s.sinceMs();
    Verdict v = x.verdict();
    boolean slow = lastedMs >= CANARY_MAX_FRACTION * s.durationMs();
    boolean sound = v.targetAnswers() > 0 && v.targetFailures() == 0 && !v.suspected();
    return lastedMs >= MIN_STEP_MS && (v.targetAnswers() >= CANARY_ANSWERS || (slow && sound));
  }

  /**
   * Returns the share of {@link RolloutStep#WIDER}: what the bound on exposure leaves after all
   * requests between the move and the deadline, or what {@link #FINAL_ANSWERS} need if that is
   * more. Lost reports make it larger, but never above {@link #MAX_SHARE}.
   */
  private double widerShare(RolloutState s, Situation x) {
    double movedMs = movedMs(s, x);
    double left = share(s, x, movedMs);
    if (left < MIN_EVIDENCE * bounds.share()) {
      left = share(s, x, DETECTION_MS);
    }
    double requests = expected(s, x) * (finalMs(s, x) - x.nowMs()) / s.durationMs();
    double needed = ANSWERS_MARGIN * FINAL_ANSWERS / Math.max(1, requests);
    double share = Math.max(left, needed) / bounds.share();
    return Math.max(MIN_SHARE, Math.min(MAX_SHARE, share)) * bounds.share();
  }

  /** Returns the share that the bound leaves after all requests of a time in milliseconds. */
  private double share(RolloutState s, Situation x, double allMs) {
    return (boundMs(s, x) - allMs) / Math.max(1, s.durationMs() - allMs);
  }

  /** Returns the time at which {@link RolloutStep#FINAL} may begin. */
  private long finalMs(RolloutState s, Situation x) {
    return s.deadlineMs() - Math.max(FINAL_MIN_MS, movedMs(s, x) + ANNOUNCED_MS);
  }

  /** Returns the time for whose requests the bound on exposure suffices, in milliseconds. */
  private double boundMs(RolloutState s, Situation x) {
    return s.durationMs() * (bounds.share() + SLACK_LEFT * bounds.slack() / expected(s, x));
  }

  /** Returns the time before the deadline at which all requests are moved, in milliseconds. */
  private long movedMs(RolloutState s, Situation x) {
    double maxMs = Math.min(MOVED_MAX_MS, MOVED_MAX_FRACTION * s.durationMs());
    return Math.round(Math.max(MOVED_MIN_MS, Math.min(maxMs, MOVED_FRACTION * boundMs(s, x))));
  }

  /**
   * Returns whether all requests may be moved. A service with so few requests that the slack covers
   * all of them needs no answers.
   */
  private boolean isProved(RolloutState s, Situation x) {
    if (!x.versions().contains(s.target()) || x.verdict().suspected()) {
      return false;
    }
    long elapsed = Math.max(1, x.nowMs() - s.startedMs());
    double rest = (double) x.requests() / elapsed * (s.deadlineMs() - x.nowMs());
    boolean few = x.requests() > 0 && elapsed > MIN_STEP_MS && rest <= bounds.slack() / 2.0;
    return x.verdict().targetAnswers() >= FINAL_ANSWERS
        || (few && x.verdict().targetFailures() == 0);
  }

  /** Returns the number of requests that the service is expected to get until the deadline. */
  private static double expected(RolloutState s, Situation x) {
    double elapsed = Math.max(1, x.nowMs() - s.startedMs());
    return Math.max(1, x.requests() * s.durationMs() / elapsed);
  }

  private Optional<RolloutState> end(RolloutState s, Situation x) {
    boolean lasted = x.nowMs() - s.sinceMs() >= MIN_STEP_MS;
    long left = s.deadlineMs() - x.nowMs();
    boolean closing = left <= CLOSING_MS + DECISION_MS;
    boolean ready = lasted && x.drained() && left <= SUCCESS_MS;
    boolean suspected = x.verdict().suspected();
    boolean exhausted =
        x.targetRequests() >= EXHAUSTED * (bounds.share() * expected(s, x) + bounds.slack());
    if (suspected && (closing || exhausted)) {
      // The old servers stop at the success, which can't be undone.
      return Optional.of(rolledBack(s, x, "a fault is suspected at the end"));
    }
    return closing || (ready && !suspected)
        ? Optional.of(s.withStep(RolloutStep.SUCCEEDED, 1, x.nowMs(), ""))
        : Optional.empty();
  }
}

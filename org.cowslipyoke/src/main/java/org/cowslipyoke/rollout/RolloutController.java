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
   * Time between a fault after the last step and the last request to the target, for which the
   * bound on exposure has to suffice, in milliseconds. Two reports and the answers themselves.
   */
  static final long DETECTION_MS = 700;

  /** Fraction of the bound on exposure at which a suspicion ends the last step. */
  static final double EXHAUSTED = 0.8;

  /** Minimum duration of {@link RolloutStep#CANARY} and {@link RolloutStep#FINAL}, in ms. */
  static final long MIN_STEP_MS = 1_000;

  /** Answers of the target that end {@link RolloutStep#CANARY}. */
  static final int CANARY_ANSWERS = 8;

  /** Answers of the target without which not all requests are moved. */
  static final int FINAL_ANSWERS = 20;

  /** Fraction of the time of a rollout that is left when all requests are moved. */
  static final double FINAL_FRACTION = 0.2;

  /** Minimum of that time in milliseconds; a new owner needs 2.2 s to replace a killed one. */
  static final long FINAL_MIN_MS = 2_500;

  /** Maximum of that time in milliseconds. */
  static final long FINAL_MAX_MS = 10_000;

  /**
   * Time before the deadline at which the rollout succeeds although requests still run at old
   * servers, in milliseconds. It allows for one retry of the write.
   */
  static final long CLOSING_MS = 500;

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
    long answers = x.verdict().targetAnswers();
    boolean lasted = x.nowMs() - s.sinceMs() >= MIN_STEP_MS;
    if (left <= finalMs(s.durationMs()) && left > CLOSING_MS && isProved(s, x)) {
      return Optional.of(s.withStep(RolloutStep.FINAL, 1, x.nowMs(), ""));
    }
    if (s.step() == RolloutStep.CANARY && lasted && answers >= CANARY_ANSWERS) {
      return Optional.of(s.withStep(RolloutStep.WIDER, widerShare(s, x), x.nowMs(), ""));
    }
    return Optional.empty();
  }

  /**
   * Returns the share of {@link RolloutStep#WIDER}: what the bound on exposure leaves after {@link
   * #DETECTION_MS} of all requests. Lost reports make it larger, but never above {@link
   * #MAX_SHARE}.
   */
  private double widerShare(RolloutState s, Situation x) {
    double share =
        bounds.share() + bounds.slack() / expected(s, x) - DETECTION_MS / (double) s.durationMs();
    return Math.max(MIN_SHARE, Math.min(MAX_SHARE, share / bounds.share())) * bounds.share();
  }

  /** Returns the time before the deadline at which all requests are moved, in milliseconds. */
  static long finalMs(long durationMs) {
    long ms = Math.round(FINAL_FRACTION * durationMs);
    return Math.max(FINAL_MIN_MS, Math.min(FINAL_MAX_MS, ms));
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
    boolean closing = s.deadlineMs() - x.nowMs() <= CLOSING_MS;
    boolean suspected = x.verdict().suspected();
    boolean exhausted =
        x.targetRequests() >= EXHAUSTED * (bounds.share() * expected(s, x) + bounds.slack());
    if (suspected && (closing || exhausted)) {
      // The old servers stop at the success, which can't be undone.
      return Optional.of(rolledBack(s, x, "a fault is suspected at the end"));
    }
    return closing || (lasted && x.drained() && !suspected)
        ? Optional.of(s.withStep(RolloutStep.SUCCEEDED, 1, x.nowMs(), ""))
        : Optional.empty();
  }
}

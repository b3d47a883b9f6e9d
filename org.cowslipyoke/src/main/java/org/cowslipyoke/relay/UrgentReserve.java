package org.cowslipyoke.relay;

import java.util.function.BooleanSupplier;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PromptAdmission.Applicant;
import org.cowslipyoke.relay.PromptDemand.Urgent;

/**
 * Keeps room at engines for prompts that are more urgent or much smaller than one that is to be
 * placed. Load: long prompts of low urgency beside many short urgent ones, together more than the
 * engines have memory for.
 *
 * <ul>
 *   <li>An engine finishes a prompt whose prefill has begun before a more urgent one, so less
 *       urgent work at an engine may take no longer than the urgent prompts can wait.
 *   <li>An engine whose memory is full evicts cached parts, and then preempts the newest of its
 *       least urgent requests, and prefills them again later. A prompt must therefore fit the free
 *       memory, and all but small ones leave a part of it free.
 *   <li>An engine generates for its running streams while it prefills, but slowly. Engines where
 *       the queued prefill takes longer than streams may pause are avoided by the number of
 *       streams.
 * </ul>
 *
 * <p>A prompt that has waited long may go to an engine without another one of its rank even if it
 * does not fit: else less urgent requests could keep it out, and the largest prompts would not run.
 */
final class UrgentReserve implements EngineRoom {

  /**
   * Fraction of the time that urgent prompts can wait which less urgent work may take. The rest is
   * for the other urgent prompts at the engine and for errors of the estimate.
   */
  static final double SLACK_FRACTION = 1.0;

  /** Fraction of an engine's memory up to which a prompt is small. */
  static final double SMALL_FRACTION = 0.05;

  /**
   * Fraction of an engine's memory that prompts which are not small leave free, so that two more
   * small ones find room without waiting until a large one ends.
   */
  static final double SMALL_RESERVE = 2 * SMALL_FRACTION;

  /**
   * Fraction of its objective after which a waiting prompt no longer has to fit the free memory. A
   * prompt of usual size can still be in time then.
   */
  static final double MAX_MEMORY_WAIT = 0.5;

  /**
   * Fraction of the longest pause that streams bear which prefill may take. The rest is for
   * attention over long contexts, which the profile doesn't have, and for the entry's own delay.
   */
  static final double PAUSE_FRACTION = 0.75;

  /**
   * Fraction of the engines that must be without other prefill and have memory before a late prompt
   * runs, so that it takes no room from prompts of other entries that can be in time.
   */
  static final double LATE_IDLE_FRACTION = 0.15;

  /**
   * What engines of a service bear.
   *
   * @param memoryTokens capacity of their memory in tokens, 0 if it is not known
   * @param pauseMs longest pause between events of a stream that is on time, in milliseconds; 0 if
   *     there is no target
   */
  record Limits(long memoryTokens, double pauseMs) {

    static Limits of(ServerGroup group, RouteTable routes) {
      ServerGroup.EngineConfig engine = group.engine();
      return new Limits(
          engine == null ? 0 : engine.cacheTokens(), routes.shortestGapMs(group.name()));
    }

    /** Returns whether a prompt is so small that it may overtake larger ones that wait. */
    boolean isSmall(int promptTokens) {
      return promptTokens <= SMALL_FRACTION * memoryTokens;
    }
  }

  private final Urgent urgent;
  private final int rank;
  private final Limits limits;
  private final double usableTokens;
  private final boolean mayPreempt;
  private final BooleanSupplier tried;
  private int engines;
  private int idle;

  /**
   * Creates the decision for one prompt.
   *
   * @param urgent recent demand that is more urgent
   * @param tried whether the next engine with room may be used
   */
  UrgentReserve(Urgent urgent, Applicant a, Limits limits, BooleanSupplier tried) {
    this.urgent = urgent;
    this.rank = a.rank();
    this.mayPreempt = a.elapsedMs() > MAX_MEMORY_WAIT * a.objectiveMs();
    this.limits = limits;
    this.tried = tried;
    double reserve = limits.isSmall(a.prompt().promptTokens()) ? 0 : SMALL_RESERVE;
    this.usableTokens = (1 - reserve) * limits.memoryTokens();
  }

  @Override
  public boolean hasRoom(Load load, PromptWork work, long addedTokens, EngineProfile profile) {
    Load noLessUrgent = load.upTo(rank);
    boolean known = limits.memoryTokens() > 0;
    boolean fits = !known || load.residentTokens() + addedTokens <= usableTokens;
    engines++;
    idle += fits && noLessUrgent.prefillTokens() <= 0 ? 1 : 0;
    if (urgent.equals(Urgent.NONE)) {
      return true;
    }
    Load moreUrgent = load.upTo(urgent.rank());
    long waiting = load.prefillTokens() - moreUrgent.prefillTokens();
    double ms = profile.prefillMs(waiting + work.prefillTokens(), load.inFlight());
    boolean quick = waiting <= 0 || ms <= SLACK_FRACTION * urgent.slackMs();
    boolean alone = mayPreempt && noLessUrgent.residentTokens() <= moreUrgent.residentTokens();
    return quick && (alone || fits) && tried.getAsBoolean();
  }

  /** Returns by how much the streams of the engine would pause for too long, summed over them. */
  @Override
  public double costMs(Load load, PromptWork work, EngineProfile profile) {
    if (limits.pauseMs() <= 0) {
      return 0;
    }
    double ms = profile.prefillMs(load.prefillTokens() + work.prefillTokens(), load.inFlight());
    return Math.max(0, ms - PAUSE_FRACTION * limits.pauseMs()) * load.inFlight();
  }

  /** Returns whether a late prompt may run, after all engines were asked for room. */
  boolean isSpare() {
    return idle > 0 && idle >= Math.floor(LATE_IDLE_FRACTION * engines);
  }
}

package org.cowslipyoke.relay;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.PromptDemand.Urgent;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a prompt runs now, waits at the entry or is refused.
 *
 * <p>An engine finishes a prompt whose prefill has begun before a more urgent one. While a service
 * has more urgent demand, each engine therefore gets only as much less urgent work as the urgent
 * prompts can wait for. A prompt that no engine has room for waits; one that would be late waits
 * for spare room, because a late response is still worth something to its caller. What can't be
 * answered while its caller waits is refused at once.
 */
public final class PromptAdmission {

  /**
   * Fraction of the objective up to which the engines may be busy before a prompt of an
   * organisation that has used up its share. The rest is left for the others.
   */
  static final double OVER_SHARE_FRACTION = 0.75;

  /**
   * Number of waiting prompts of all entries that try an engine, on average, before a start at it
   * is known to the other entries. Several entries would otherwise send prompts to the same engine
   * as soon as it has room, and make more urgent ones late.
   */
  static final double MAX_CONTENDERS = 0.25;

  /** Interval at which waiting prompts are tried, in milliseconds; a few steps of an engine. */
  public static final long INTERVAL_MS = 20;

  /** Time until other entries know of a start, in milliseconds. */
  static final long ANNOUNCE_MS = 3;

  /** Objectives for which callers wait for the first event, at least {@link #MIN_PATIENCE_MS}. */
  static final double PATIENCE_OBJECTIVES = 4;

  /** Time for which all callers wait for the first event, in milliseconds. */
  static final long MIN_PATIENCE_MS = 2_000;

  /** Maximum time that a prompt waits at the entry, in objectives of its route. */
  static final double MAX_WAIT_OBJECTIVES = 1;

  /** Minimum retry delay suggested to callers, in milliseconds. */
  static final long MIN_RETRY_MS = 50;

  /** Why a prompt was not started. */
  public enum Reason {
    /** It runs. */
    NONE,
    /** No server is available. */
    NO_SERVER,
    /** Room is kept for more urgent prompts. */
    URGENT,
    /** The engines are busy with prompts that are as urgent or more. */
    BUSY,
    /** Other organisations have had less of the room. */
    SHARE,
    /** It can't be answered while its caller waits. */
    TOO_LATE
  }

  /**
   * A prompt that asks to run.
   *
   * @param rank {@link UrgencyRank} of the prompt
   * @param elapsedMs time since it arrived, in milliseconds
   * @param leftMs time until its deadline, in milliseconds
   * @param begun whether its caller has received a part of the response
   * @param waiting whether it has waited for room
   */
  public record Applicant(
      Route route,
      String service,
      int rank,
      @Nullable String organisation,
      Prompt prompt,
      long elapsedMs,
      long leftMs,
      boolean begun,
      boolean waiting) {

    double objectiveMs() {
      return PromptAdmission.objectiveMs(route, elapsedMs + leftMs);
    }

    /** Returns the time for which the caller waits for the first event, in milliseconds. */
    double patienceMs() {
      double patience = Math.max((double) MIN_PATIENCE_MS, PATIENCE_OBJECTIVES * objectiveMs());
      return Math.min((double) (elapsedMs + leftMs), patience);
    }
  }

  /**
   * The decision; a prompt without a plan and without a refusal waits.
   *
   * @param plan placement of a prompt that runs now, else null
   * @param refusal answer to a prompt that doesn't run, else null
   * @param estimateMs expected time to the first event if it ran now, in milliseconds
   */
  public record Verdict(
      @Nullable PromptPlan plan, @Nullable Failure refusal, Reason reason, double estimateMs) {

    /** Returns what becomes of the prompt in the queue of the entry. */
    public AdmissionQueue.Attempt attempt() {
      if (plan != null || refusal != null) {
        return AdmissionQueue.Attempt.SETTLED;
      }
      return reason == Reason.URGENT
          ? AdmissionQueue.Attempt.NO_ROOM
          : AdmissionQueue.Attempt.ORGANISATION_WAITS;
    }
  }

  private static final RouteTable NO_ROUTES = new RouteTable(List.of());

  private final PromptPlacement placement;
  private final PromptDemand demand;
  private final OrganisationShares shares;
  private final RandomGenerator random;

  /** Creates the decision of an entry. */
  public PromptAdmission(
      PromptPlacement placement,
      PromptDemand demand,
      OrganisationShares shares,
      RandomGenerator random) {
    this.placement = placement;
    this.demand = demand;
    this.shares = shares;
    this.random = random;
  }

  /**
   * Returns the time from the arrival of a request within which its first event is in time, in
   * milliseconds.
   *
   * @param waitMs time from the arrival to the deadline, in milliseconds
   */
  public static double objectiveMs(Route route, long waitMs) {
    if (route.kind() != RequestKind.STREAM) {
      return waitMs;
    }
    return route.objectiveMs() > 0 ? route.objectiveMs() : LoadShedder.DEFAULT_OBJECTIVE_MS;
  }

  /** Returns whether a prompt may overtake larger ones that find no room. */
  public static boolean isSmall(@Nullable Prompt p, @Nullable ServerGroup group) {
    return p != null
        && group != null
        && UrgentReserve.Limits.of(group, NO_ROUTES).isSmall(p.promptTokens());
  }

  /** Records that a prompt has arrived. */
  public void recordArrival(Applicant a) {
    double ownMs = EngineProfile.INITIAL.firstTokenOverheadMs();
    ownMs += EngineProfile.INITIAL.prefillMs(a.prompt().promptTokens(), 0);
    demand.record(a.service(), a.rank(), a.objectiveMs() - ownMs);
    shares.recordAsked(a.service(), a.rank(), a.organisation(), a.prompt().promptTokens());
  }

  /** Decides on a prompt now. */
  public Verdict decide(
      Applicant a, FleetState state, ServerGroup group, List<BackendServer> candidates) {
    Urgent urgent = a.begun() ? Urgent.NONE : demand.moreUrgentThan(a.service(), a.rank());
    double tried = a.waiting() ? MAX_CONTENDERS * INTERVAL_MS / (ANNOUNCE_MS * state.entries()) : 1;
    UrgentReserve room =
        new UrgentReserve(urgent, a, limits(state, group), () -> random.nextDouble() < tried);
    Optional<PromptPlan> roomy = choose(a, state, group, candidates, room);
    if (roomy.isEmpty()) {
      Optional<PromptPlan> any = choose(a, state, group, candidates, EngineRoom.ANY);
      return any.map(p -> waitOrRefuse(a, p.estimateMs(), Reason.URGENT))
          .orElseGet(() -> new Verdict(null, noServer(), Reason.NO_SERVER, 0));
    }
    PromptPlan plan = roomy.get();
    Reason obstacle = a.begun() ? Reason.NONE : obstacle(a, plan, room);
    if (obstacle != Reason.NONE) {
      return waitOrRefuse(a, plan.estimateMs(), obstacle);
    }
    if (!a.begun()) {
      shares.recordServed(a.service(), a.rank(), a.organisation(), a.prompt().promptTokens());
    }
    return new Verdict(plan, null, Reason.NONE, plan.estimateMs());
  }

  /**
   * Decides on a prompt of a service whose prompts do not compete by urgency: it runs now if it can
   * be in time and is refused at once otherwise.
   */
  public Verdict decideAlike(
      Applicant a, FleetState state, ServerGroup group, List<BackendServer> candidates) {
    Optional<PromptPlan> plan = choose(a, state, group, candidates, EngineRoom.ANY);
    if (plan.isEmpty()) {
      return new Verdict(null, noServer(), Reason.NO_SERVER, 0);
    }
    double estimateMs = plan.get().estimateMs();
    Optional<Failure> late =
        a.begun()
            ? Optional.empty()
            : LoadShedder.decide(a.route(), a.elapsedMs(), a.leftMs(), estimateMs);
    return late.map(f -> new Verdict(null, f, Reason.TOO_LATE, estimateMs))
        .orElseGet(() -> new Verdict(plan.get(), null, Reason.NONE, estimateMs));
  }

  private static UrgentReserve.Limits limits(FleetState state, ServerGroup group) {
    RouteTable routes = state.desired() == null ? NO_ROUTES : state.desired().routes();
    return UrgentReserve.Limits.of(group, routes);
  }

  private Optional<PromptPlan> choose(
      Applicant a,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates,
      EngineRoom room) {
    return placement.choose(a.prompt(), a.rank(), a.organisation(), state, group, candidates, room);
  }

  /** Returns why a prompt should not run at a server that has room for it. */
  private Reason obstacle(Applicant a, PromptPlan plan, UrgentReserve room) {
    double endMs = a.elapsedMs() + plan.estimateMs();
    if (endMs > a.elapsedMs() + a.leftMs()) {
      return Reason.TOO_LATE;
    }
    if (endMs > a.objectiveMs()) {
      return room.isSpare() ? Reason.NONE : Reason.BUSY;
    }
    boolean over =
        plan.estimateMs() > OVER_SHARE_FRACTION * a.objectiveMs()
            && shares.isOverShare(a.service(), a.rank(), a.organisation());
    return over ? Reason.SHARE : Reason.NONE;
  }

  private Verdict waitOrRefuse(Applicant a, double estimateMs, Reason reason) {
    boolean useless = a.elapsedMs() + estimateMs > a.patienceMs();
    boolean waitedEnough = a.elapsedMs() > MAX_WAIT_OBJECTIVES * a.objectiveMs();
    if (useless || waitedEnough) {
      Reason why = useless ? Reason.TOO_LATE : reason;
      return new Verdict(null, refusal(why, estimateMs), why, estimateMs);
    }
    return new Verdict(null, null, reason, estimateMs);
  }

  private Failure refusal(Reason reason, double estimateMs) {
    String text =
        "the first event is expected in " + Math.round(estimateMs) + " ms, reason " + reason;
    return new Failure(ErrorKind.DEADLINE_TOO_SHORT, text, retryAfterMs(estimateMs));
  }

  /**
   * Returns the time after which the work that is queued now will be done, spread by a quarter, so
   * that callers don't return together.
   */
  private long retryAfterMs(double estimateMs) {
    double spread = 0.75 + 0.5 * random.nextDouble();
    return Math.max(MIN_RETRY_MS, Math.round(spread * estimateMs));
  }

  private static Failure noServer() {
    return new Failure(ErrorKind.NO_SERVER, "no server is available", 200);
  }
}

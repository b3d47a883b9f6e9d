package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.Admission.AdmittedRequest;
import org.cowslipyoke.relay.AdmissionQueue.Attempt;
import org.cowslipyoke.relay.AdmissionQueue.Position;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.CacheIsolation;
import org.cowslipyoke.relay.CandidateFilter;
import org.cowslipyoke.relay.CandidateFilter.Placed;
import org.cowslipyoke.relay.CandidateFilter.Remaining;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.OrganisationPolicy;
import org.cowslipyoke.relay.Prompt;
import org.cowslipyoke.relay.PromptAdmission;
import org.cowslipyoke.relay.PromptAdmission.Applicant;
import org.cowslipyoke.relay.PromptAdmission.Reason;
import org.cowslipyoke.relay.PromptAdmission.Verdict;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.relay.RequestAttempts;
import org.cowslipyoke.relay.RequestKind;
import org.cowslipyoke.relay.RouteTable;
import org.cowslipyoke.relay.ServerGroup;
import org.cowslipyoke.relay.UrgencyRank;
import org.jspecify.annotations.Nullable;

/**
 * Placement of one request: the servers that it may be sent to and the decision among them.
 *
 * @param rank {@link UrgencyRank} of the request
 * @param startMs time at which the request arrived, in monotonic milliseconds
 * @param endMs its deadline in monotonic milliseconds
 */
record RequestPlacement(
    RelayContext services,
    RelayRequest request,
    AdmittedRequest admitted,
    String service,
    int rank,
    RequestAttempts run,
    long startMs,
    long endMs) {

  /** Retry delay while no server has a stream's version; servers that crashed may be back then. */
  private static final long VERSION_RETRY_AFTER_MS = 1_000;

  /**
   * Result of the placement; a request without a server and without a refusal waits.
   *
   * @param attempt what becomes of the request if it waits
   */
  record Result(
      @Nullable BackendServer server,
      @Nullable PromptPlan plan,
      @Nullable Failure refusal,
      Attempt attempt) {

    static Result refused(Failure f) {
      return new Result(null, null, f, Attempt.SETTLED);
    }
  }

  /**
   * Returns the {@link UrgencyRank} of a request; prompts of a service that do not compete by
   * urgency share one.
   */
  static int rankOf(AdmittedRequest admitted, String service) {
    RouteTable routes = admitted.desired().routes();
    return routes.isCompeting(service)
        ? UrgencyRank.of(routes, admitted.route(), service, admitted.priority())
        : UrgencyRank.MOST_URGENT;
  }

  private boolean isCompeting() {
    return admitted.desired().routes().isCompeting(service);
  }

  @Nullable String organisation() {
    OrganisationPolicy t = admitted.tenancy();
    return t == null ? null : t.organisation();
  }

  /** Records that the request has arrived. */
  void recordArrival() {
    services.repeats().recordRequest(service);
    if (request.prompt() != null && isCompeting()) {
      services.prompts().recordArrival(applicant(request.prompt(), false));
    }
  }

  /** Returns the place of the request among those that wait. */
  Position waitingPosition(long bytes) {
    double objectiveMs = PromptAdmission.objectiveMs(admitted.route(), endMs - startMs);
    return new Position(
        service,
        rank,
        organisation(),
        startMs + Math.round(objectiveMs),
        endMs,
        bytes,
        PromptAdmission.isSmall(request.prompt(), admitted.desired().groups().get(service)));
  }

  /** Returns the priority that servers get. */
  int priorityAtServer() {
    return request.prompt() != null && isCompeting() ? rank : admitted.priority();
  }

  /**
   * Decides on the request now.
   *
   * @param waiting whether the request has waited for room
   */
  Result place(boolean waiting) {
    FleetState state = services.state().get();
    Failure none = new Failure(ErrorKind.NO_SERVER, "no server is available", 200);
    ServerGroup group = admitted.desired().groups().get(service);
    if (group == null) {
      return Result.refused(none);
    }
    Remaining remaining = filtered(state, untried(state, group));
    List<BackendServer> candidates = remaining.servers();
    if (run.isBound() && !state.anyAvailable(service, run::mayRunAt)) {
      none =
          new Failure(
              ErrorKind.STREAM_UNKNOWN,
              "no server has the version that began the stream",
              VERSION_RETRY_AFTER_MS);
    } else if (candidates.isEmpty() && remaining.retryAfterMs() > 0) {
      none = new Failure(ErrorKind.NO_SERVER, "no server is available", remaining.retryAfterMs());
    }
    if (request.prompt() == null || group.engine() == null) {
      Optional<BackendServer> s = services.services().choose(candidates);
      return s.isPresent() ? result(state, group, s.get(), null, none) : Result.refused(none);
    }
    Applicant a = applicant(request.prompt(), waiting);
    Verdict v =
        isCompeting()
            ? services.prompts().decide(a, state, group, candidates)
            : services.prompts().decideAlike(a, state, group, candidates);
    if (v.plan() != null) {
      return result(state, group, v.plan().server(), v.plan(), none);
    }
    services.waiting().recordVerdict(request.id(), a, v);
    return v.reason() == Reason.NO_SERVER
        ? Result.refused(none)
        : new Result(null, null, v.refusal(), v.attempt());
  }

  private Result result(
      FleetState state,
      ServerGroup group,
      BackendServer server,
      @Nullable PromptPlan plan,
      Failure none) {
    boolean mayStart =
        group.coldRequestsPerSecond() <= 0
            || server.coldMs() <= 0
            || services.cold().tryAcquire(server, group.coldRequestsPerSecond(), state.entries());
    return mayStart ? new Result(server, plan, null, Attempt.SETTLED) : Result.refused(none);
  }

  private Applicant applicant(Prompt prompt, boolean waiting) {
    long now = services.clock().nowMs();
    return new Applicant(
        admitted.route(),
        service,
        rank,
        organisation(),
        prompt,
        now - startMs,
        Math.max(0, endMs - now),
        run.isResponseStarted(),
        waiting);
  }

  /**
   * Returns a cache salt that no other request has, for a request to an engine whose prompt is not
   * described; null if the service has no engines.
   */
  @Nullable String unsharedSalt() {
    ServerGroup group = admitted.desired().groups().get(service);
    return group == null || group.engine() == null
        ? null
        : CacheIsolation.unsharedSalt(organisation(), ThreadLocalRandom.current());
  }

  /** Returns whether the filters of candidates leave a server. */
  boolean isAllowed(BackendServer server) {
    return !filtered(services.state().get(), List.of(server)).servers().isEmpty();
  }

  private Remaining filtered(FleetState state, List<BackendServer> candidates) {
    Placed placed =
        new Placed(
            request.id(),
            admitted.route(),
            service,
            admitted.priority(),
            organisation(),
            run.attempts());
    Remaining remaining = new Remaining(ofFittingVersion(candidates), 0);
    for (CandidateFilter f : services.extensions().filters()) {
      if (!remaining.servers().isEmpty()) {
        remaining = f.filter(placed, state, remaining.servers());
      }
    }
    return remaining;
  }

  /** Returns whether the request begins a stream that callers may take up. */
  boolean beginsResumableStream() {
    return admitted.route().kind() == RequestKind.STREAM
        && admitted.route().resumable()
        && request.lastEventId() == null
        && !run.isBound();
  }

  /** Returns the candidates whose version may begin the stream, or may go on with it. */
  private List<BackendServer> ofFittingVersion(List<BackendServer> candidates) {
    List<BackendServer> fitting = candidates.stream().filter(run::mayRunAt).toList();
    return beginsResumableStream() ? services.streams().permitted(service, fitting) : fitting;
  }

  private List<BackendServer> untried(FleetState state, ServerGroup group) {
    List<BackendServer> fresh =
        state.available(service).stream().filter(s -> !run.hasTried(s) && run.mayRunAt(s)).toList();
    if (group.coldRequestsPerSecond() <= 0) {
      return fresh;
    }
    List<BackendServer> warm = fresh.stream().filter(s -> s.coldMs() <= 0).toList();
    return warm.isEmpty() ? fresh : warm;
  }
}

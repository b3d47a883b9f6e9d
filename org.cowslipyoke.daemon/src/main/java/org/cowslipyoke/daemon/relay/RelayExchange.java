package org.cowslipyoke.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.relay.FinalResponse.End;
import org.cowslipyoke.daemon.relay.RelayDialect.ServerRequest;
import org.cowslipyoke.daemon.relay.RequestPlacement.Result;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.failover.RunCopy;
import org.cowslipyoke.relay.Admission.AdmittedRequest;
import org.cowslipyoke.relay.AdmissionQueue.Attempt;
import org.cowslipyoke.relay.AttemptEnd;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.relay.RequestAttempts;
import org.cowslipyoke.relay.RequestAttempts.NextStep;
import org.cowslipyoke.relay.RequestKind;
import org.cowslipyoke.relay.RequestLifecycle;
import org.cowslipyoke.relay.RequestLifecycle.Phase;
import org.cowslipyoke.relay.Route;
import org.cowslipyoke.relay.WeightTarget;
import org.cowslipyoke.util.Digests;
import org.jspecify.annotations.Nullable;

/** One admitted request: its attempts on servers, its deadline and the disconnect of its caller. */
final class RelayExchange {

  /** Minimum time left for starting another attempt, in milliseconds. */
  static final long MIN_ATTEMPT_MS = 30;

  /**
   * Time after which a request is sent again to the only server, if no connection was opened in
   * time; a server with a full backlog accepts its connections meanwhile.
   */
  private static final long RECONNECT_MS = 100;

  private static final Logger LOG = LogManager.getLogger(RelayExchange.class);

  private final RelayContext services;
  private final CallerChannel caller;
  private final RelayRequest request;
  private final AdmittedRequest admitted;
  private final String service;
  private final byte[] body;
  private final long startMs;
  private final long endMs;
  private final RequestAttempts run;
  private final RequestPlacement placement;
  private final StreamBinding binding;
  private final RequestCrashTracker crashTracker;
  private final RunFailover failover;
  private final Consumer<RelayExchange> onDone;
  private @Nullable RelayAttempt attempt;
  private @Nullable Future<?> timer;
  private final RequestLifecycle life = new RequestLifecycle();
  private final FinalResponse finalResponse = new FinalResponse(this);

  RelayExchange(
      RelayContext services,
      CallerChannel caller,
      RelayRequest request,
      AdmittedRequest admitted,
      byte[] body,
      long startMs,
      Consumer<RelayExchange> onDone) {
    this.services = services;
    this.caller = caller;
    this.request = request;
    this.admitted = admitted;
    this.service = admitted.route().chooseService(draw(admitted.route(), request));
    this.body = body;
    this.startMs = startMs;
    this.endMs = startMs + Math.min(request.waitMs(), admitted.route().timeoutMs());
    this.onDone = onDone;
    this.failover = new RunFailover(services, request, admitted.route(), service);
    this.run =
        new RequestAttempts(
            admitted.route(),
            request.lastEventId(),
            () -> services.repeats().tryAcquire(service, services.state().get().entries()));
    this.placement =
        new RequestPlacement(
            services,
            request,
            admitted,
            service,
            RequestPlacement.rankOf(admitted, service),
            run,
            startMs,
            endMs);
    this.binding = new StreamBinding(this, run, startMs);
    this.crashTracker = new RequestCrashTracker(services, request, placement.organisation(), body);
  }

  /** Returns a number from 0 to 1, the same for a stream and for each request that takes it up. */
  private static double draw(Route route, RelayRequest request) {
    if (!route.isShared()) {
      return 0;
    }
    String first = request.firstRequest();
    String id = request.lastEventId() == null || first == null ? request.id() : first;
    return (Digests.sha256Prefix(id.getBytes(StandardCharsets.UTF_8)) >>> 11) * 0x1.0p-53;
  }

  /** Starts the first attempt. */
  void start() {
    placement.recordArrival();
    caller.watch(this::onCallerDisconnect);
    if (isOver()) {
      return;
    }
    try {
      timer = services.timers().schedule(this::onTimeout, leftMs(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      fail(new Failure(ErrorKind.SHUTTING_DOWN, "the process stops", 0));
      return;
    }
    if (binding.isTakeUp()) {
      binding.takeUp(this::startNextAttempt, this::fail);
    } else {
      startNextAttempt();
    }
  }

  StreamBinding binding() {
    return binding;
  }

  boolean isOver() {
    return life.isEnded();
  }

  /** Claims the request for sending; returns false if it must no longer be sent. */
  boolean claimSend() {
    return life.claimSend();
  }

  /** Claims the caller's response; returns false if nothing may be passed on. */
  boolean claimResponse() {
    return life.claimResponse();
  }

  RelayContext services() {
    return services;
  }

  CallerChannel caller() {
    return caller;
  }

  RequestAttempts run() {
    return run;
  }

  RequestCrashTracker crashTracker() {
    return crashTracker;
  }

  String service() {
    return service;
  }

  Route route() {
    return admitted.route();
  }

  boolean isStream() {
    return admitted.route().kind() == RequestKind.STREAM;
  }

  byte[] body() {
    return body;
  }

  RelayRequest request() {
    return request;
  }

  long elapsedMs() {
    return services.clock().nowMs() - startMs;
  }

  long leftMs() {
    return Math.max(0, endMs - services.clock().nowMs());
  }

  /** Returns whether operators have set newer weights for the request's model. */
  boolean isReplaced(int weights) {
    WeightTarget t =
        request.prompt() == null
            ? null
            : services.state().get().targets().get(request.prompt().model());
    return t != null && weights < t.version();
  }

  RequestPlacement placement() {
    return placement;
  }

  /** Returns the data for the headers of a request to a server. */
  ServerRequest outbound(BackendServer server, @Nullable PromptPlan plan, @Nullable RunCopy copy) {
    return new ServerRequest(
        request,
        server,
        leftMs(),
        placement.organisation(),
        placement.priorityAtServer(),
        plan,
        plan == null ? placement.unsharedSalt() : null,
        run.lastEventId(),
        copy);
  }

  /** Starts the next attempt at the same server after {@link #RECONNECT_MS}. */
  private void reconnect() {
    try {
      Runnable next = this::startNextAttempt;
      var unused = services.timers().schedule(next, RECONNECT_MS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      fail(new Failure(ErrorKind.SHUTTING_DOWN, "the process stops", 0));
    }
  }

  private void startNextAttempt() {
    if (isOver()) {
      return;
    }
    WaitingPrompts waiting = services.waiting();
    if (waiting.hasAhead(this) || tryStart(false) != Attempt.SETTLED) {
      waiting.add(this);
    }
  }

  /**
   * Starts the next attempt or refuses the request, unless it has to wait.
   *
   * @param waiting whether it has waited for room
   */
  Attempt tryStart(boolean waiting) {
    Result p =
        crashTracker.refusal().map(Result::refused).orElseGet(() -> placement.place(waiting));
    if (p.server() == null && p.refusal() == null) {
      return p.attempt();
    }
    RelayAttempt next = null;
    synchronized (this) {
      if (life.isEnded()) {
        return Attempt.SETTLED;
      }
      if (p.server() != null) {
        run.recordAttempt(p.server());
        RunCopy copy = failover.begin(p.plan(), admitted.desired().groups().get(service));
        next = new RelayAttempt(this, p.server(), p.plan(), copy);
      }
      attempt = next;
    }
    if (next != null) {
      next.send();
    } else if (p.refusal() != null) {
      refuse(p.refusal());
    }
    return Attempt.SETTLED;
  }

  /** Refuses the request; it fails if an attempt may have run it. */
  void refuse(Failure f) {
    fail(run.attempts() > 0 ? run.finalFailure(f.retryAfterMs()) : f);
  }

  /** Handles the end of an attempt without a complete response. */
  void attemptEnded(RelayAttempt a, AttemptEnd end, String reason) {
    NextStep next;
    boolean reconnect;
    synchronized (this) {
      if (life.isEnded() || attempt != a) {
        return;
      }
      attempt = null;
      life.recordAttemptOver();
      List<BackendServer> servers = services.state().get().available(service);
      boolean others = servers.stream().anyMatch(s -> !run.hasTried(s) && run.mayRunAt(s));
      reconnect = !others && a.isConnectTimedOut() && servers.stream().anyMatch(a::isAt);
      if (reconnect) {
        run.forget(a.server());
      }
      boolean copied =
          end == AttemptEnd.BROKEN
              && a.isContinuable()
              && failover.isReady(placement::isAllowed)
              && crashTracker.refusal().isEmpty();
      long neededMs = MIN_ATTEMPT_MS + (reconnect ? RECONNECT_MS : 0);
      next = run.onAttemptEnd(end, others || reconnect, copied, leftMs() >= neededMs);
    }
    services.metrics().attempt(service, end.name());
    LOG.info(
        "attempt ended: request={} server={} connection={} end={} reason={} tries={} elapsedMs={}"
            + " leftMs={} next={}",
        request.loggedId(),
        a.server().id(),
        a.connectionId(),
        end,
        reason,
        run.attempts(),
        elapsedMs(),
        leftMs(),
        next);
    switch (next) {
      case AGAIN -> {
        if (reconnect) {
          reconnect();
        } else {
          startNextAttempt();
        }
      }
      case CONTINUE -> continueRun(a);
      case PASS_ON -> a.passOn();
      case FAIL -> fail(run.finalFailure());
      case CUT -> cut("the server's answer broke off");
      default -> throw new IllegalStateException("unknown step " + next);
    }
  }

  /** Lets the run go on from its copy, after the connection of its last attempt was closed. */
  private void continueRun(RelayAttempt last) {
    RelayAttempt next;
    synchronized (this) {
      if (life.isEnded()) {
        return;
      }
      next = failover.continuation(this, last);
      run.recordAttempt(next.server());
      attempt = next;
    }
    next.send();
  }

  /**
   * Ends the attempt if its server has stopped responding and the request may go on at another one.
   */
  void checkServer() {
    RelayAttempt a;
    boolean mayRetry;
    synchronized (this) {
      mayRetry = run.mayRetryCurrentAttempt();
      if (life.isEnded() || attempt == null || !(mayRetry || run.mayContinueCurrentAttempt())) {
        return;
      }
      a = attempt;
    }
    List<BackendServer> servers = services.state().get().available(service);
    if (!failover.isLost(a.server())
        && !services.silentServers().isAttemptLost(servers, a.server(), a.idleMs())) {
      return;
    }
    boolean others =
        mayRetry && servers.stream().anyMatch(s -> !run.hasTried(s) && run.mayRunAt(s));
    if (others || failover.isReady(placement::isAllowed)) {
      a.leaveServer();
    }
  }

  /** Ends the exchange for a complete response; returns false if it had ended before. */
  boolean answered() {
    return end(true) != null;
  }

  private void onTimeout() {
    End e = end();
    if (e == null) {
      return;
    }
    if (e.phase() == Phase.RESPONDING) {
      finalResponse.cut(e, "the time of the request is up");
    } else {
      finalResponse.sendFailure(e, run.timeoutFailure(e.phase() == Phase.SENT));
    }
  }

  private void onCallerDisconnect() {
    End e = end();
    if (e != null) {
      finalResponse.callerLeft(e);
    }
  }

  /** Breaks off the response. */
  void cut(String reason) {
    End e = end();
    if (e != null) {
      finalResponse.cut(e, reason);
    }
  }

  private void fail(Failure f) {
    End e = end();
    if (e != null) {
      finalResponse.fail(e, f);
    }
  }

  private @Nullable End end() {
    return end(false);
  }

  /**
   * Ends the exchange; returns null if it had ended before.
   *
   * @param answered whether the response is complete
   */
  private @Nullable End end(boolean answered) {
    Optional<Phase> phase;
    RelayAttempt a;
    Future<?> t;
    synchronized (this) {
      phase = life.end();
      a = attempt;
      attempt = null;
      t = timer;
    }
    if (phase.isEmpty()) {
      return null;
    }
    if (t != null) {
      t.cancel(false);
    }
    if (a != null) {
      a.abort();
    } else {
      services.waiting().remove(this);
    }
    failover.ended(answered);
    onDone.accept(this);
    return new End(phase.get(), a);
  }
}

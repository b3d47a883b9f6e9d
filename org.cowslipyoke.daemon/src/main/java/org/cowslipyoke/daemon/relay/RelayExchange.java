package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.relay.RelayDialect.ServerRequest;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.Admission.Admitted;
import org.cowslipyoke.relay.AttemptEnd;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.EarlyRefusal;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.OrganisationPolicy;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.RelayRequest;
import org.cowslipyoke.relay.RelayRun;
import org.cowslipyoke.relay.RelayRun.Next;
import org.cowslipyoke.relay.RequestKind;
import org.cowslipyoke.relay.ServerGroup;
import org.cowslipyoke.relay.WeightTarget;
import org.jspecify.annotations.Nullable;

/** One admitted request: its attempts at servers, its end of time, and the leave of its caller. */
final class RelayExchange {

  /** Shortest time left for which another attempt is begun, in milliseconds. */
  static final long MIN_ATTEMPT_MS = 30;

  private static final Logger LOG = LogManager.getLogger(RelayExchange.class);

  private final RelayServices services;
  private final CallerSide caller;
  private final RelayRequest request;
  private final Admitted admitted;
  private final String service;
  private final byte[] body;
  private final long startMs;
  private final long endMs;
  private final RelayRun run;
  private final CrashWatch crashes;
  private final Consumer<RelayExchange> onDone;
  private @Nullable RelayAttempt attempt;
  private @Nullable Future<?> timer;
  private boolean over;

  RelayExchange(
      RelayServices services,
      CallerSide caller,
      RelayRequest request,
      Admitted admitted,
      byte[] body,
      long startMs,
      Consumer<RelayExchange> onDone) {
    this.services = services;
    this.caller = caller;
    this.request = request;
    this.admitted = admitted;
    this.service = admitted.route().chooseService(ThreadLocalRandom.current().nextDouble());
    this.body = body;
    this.startMs = startMs;
    this.endMs = startMs + Math.min(request.waitMs(), admitted.route().timeoutMs());
    this.onDone = onDone;
    this.crashes = new CrashWatch(services, request, organisation(), body);
    this.run =
        new RelayRun(
            admitted.route(),
            request.lastEventId(),
            () -> services.repeats().tryRepeat(service, services.state().get().entries()));
  }

  /** Begins the first attempt. */
  void start() {
    services.repeats().onRequest(service);
    caller.watch(this::callerLeft);
    try {
      timer = services.timers().schedule(this::timeIsUp, leftMs(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      fail(new Failure(ErrorKind.SHUTTING_DOWN, "the process stops", 0));
      return;
    }
    tryNext();
  }

  synchronized boolean isOver() {
    return over;
  }

  RelayServices services() {
    return services;
  }

  CallerSide caller() {
    return caller;
  }

  RelayRun run() {
    return run;
  }

  CrashWatch crashes() {
    return crashes;
  }

  String service() {
    return service;
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

  /** Returns whether newer weights were named for the request's model. */
  boolean isReplaced(int weights) {
    WeightTarget t =
        request.prompt() == null
            ? null
            : services.state().get().targets().get(request.prompt().model());
    return t != null && weights < t.version();
  }

  private @Nullable String organisation() {
    OrganisationPolicy t = admitted.tenancy();
    return t == null ? null : t.organisation();
  }

  /** The head of a request to a server. */
  ServerRequest outbound(BackendServer server, @Nullable PromptPlan plan) {
    return new ServerRequest(
        request, server, leftMs(), organisation(), admitted.priority(), plan, run.lastEventId());
  }

  private void tryNext() {
    Placed p = place(services.state().get());
    RelayAttempt next;
    synchronized (this) {
      if (over) {
        return;
      }
      if (p.server() == null) {
        attempt = null;
      } else {
        run.sending(p.server());
        attempt = new RelayAttempt(this, p.server(), p.plan());
      }
      next = attempt;
    }
    if (next == null) {
      Failure f = run.tries() > 0 ? run.failure() : p.refusal();
      fail(f);
    } else {
      next.send();
    }
  }

  private record Placed(
      @Nullable BackendServer server, @Nullable PromptPlan plan, Failure refusal) {}

  private Placed place(FleetState state) {
    Optional<Failure> held = crashes.refusal();
    if (held.isPresent()) {
      return new Placed(null, null, held.get());
    }
    Failure none = new Failure(ErrorKind.NO_SERVER, "no server is available", 200);
    ServerGroup group = admitted.desired().groups().get(service);
    if (group == null) {
      return new Placed(null, null, none);
    }
    List<BackendServer> candidates = candidates(state, group);
    if (request.prompt() == null || group.engine() == null) {
      Optional<BackendServer> s = services.services().choose(candidates);
      return new Placed(s.filter(x -> takeCold(state, group, x)).orElse(null), null, none);
    }
    Optional<PromptPlan> plan =
        services.prompts().choose(request.prompt(), admitted.tenancy(), state, group, candidates);
    if (plan.isEmpty()) {
      return new Placed(null, null, none);
    }
    Optional<Failure> late =
        EarlyRefusal.decide(admitted.route(), elapsedMs(), leftMs(), plan.get().estimateMs());
    if (late.isPresent() && !run.isAnswerBegun()) {
      return new Placed(null, null, late.get());
    }
    BackendServer server = plan.get().server();
    return takeCold(state, group, server)
        ? new Placed(server, plan.get(), none)
        : new Placed(null, null, none);
  }

  private List<BackendServer> candidates(FleetState state, ServerGroup group) {
    List<BackendServer> fresh =
        state.available(service).stream().filter(s -> !run.wasAt(s)).toList();
    if (group.coldRequestsPerSecond() <= 0) {
      return fresh;
    }
    List<BackendServer> warm = fresh.stream().filter(s -> s.coldMs() <= 0).toList();
    return warm.isEmpty() ? fresh : warm;
  }

  private boolean takeCold(FleetState state, ServerGroup group, BackendServer server) {
    return group.coldRequestsPerSecond() <= 0
        || server.coldMs() <= 0
        || services.cold().tryTake(server, group.coldRequestsPerSecond(), state.entries());
  }

  /** An attempt ended without a whole answer. */
  void attemptEnded(RelayAttempt a, AttemptEnd end, String reason) {
    Next next;
    synchronized (this) {
      if (over || attempt != a) {
        return;
      }
      attempt = null;
      boolean others =
          services.state().get().available(service).stream().anyMatch(s -> !run.wasAt(s));
      next = run.after(end, others, leftMs() >= MIN_ATTEMPT_MS);
    }
    services.metrics().attempt(service, end.name());
    LOG.info(
        "attempt ended: request={} server={} end={} reason={} tries={} elapsedMs={} leftMs={}"
            + " next={}",
        request.id(),
        a.server().id(),
        end,
        reason,
        run.tries(),
        elapsedMs(),
        leftMs(),
        next);
    switch (next) {
      case AGAIN -> tryNext();
      case PASS_ON -> a.passOn();
      case FAIL -> fail(run.failure());
      case CUT -> cut("the server's answer broke off");
      default -> throw new IllegalStateException("unknown step " + next);
    }
  }

  /** An answer was passed on as a whole. */
  void answered() {
    finish();
  }

  private void timeIsUp() {
    boolean begun;
    boolean inFlight;
    synchronized (this) {
      if (over) {
        return;
      }
      begun = run.isAnswerBegun();
      inFlight = attempt != null && attempt.isSent();
    }
    if (begun) {
      cut("the time of the request is up");
    } else {
      fail(run.timeout(inFlight));
    }
  }

  private void callerLeft() {
    RelayAttempt a = finish();
    LOG.info(
        "caller left: request={} server={} received={} elapsedMs={}",
        request.id(),
        a == null ? "" : a.server().id(),
        a == null ? "none" : a.progress(),
        elapsedMs());
    caller.cut(new IllegalStateException("the caller left"));
  }

  void cut(String reason) {
    RelayAttempt a = finish();
    LOG.info(
        "answer cut: request={} server={} reason={} received={} elapsedMs={}",
        request.id(),
        a == null ? "" : a.server().id(),
        reason,
        a == null ? "" : a.progress(),
        elapsedMs());
    caller.cut(new IllegalStateException(reason));
  }

  private void fail(Failure f) {
    if (run.isAnswerBegun()) {
      cut("the answer can't go on: " + f.message());
      return;
    }
    services.metrics().own(f.kind());
    RelayAttempt a = finish();
    LOG.info(
        "own answer: request={} route={} service={} server={} kind={} reason={} tries={}"
            + " elapsedMs={}",
        request.id(),
        admitted.route().name(),
        service,
        a == null ? "" : a.server().id(),
        f.kind(),
        f.message(),
        run.tries(),
        elapsedMs());
    caller.failure(f, request.id());
  }

  /** Ends the exchange; returns the attempt that was in flight and is now aborted. */
  private @Nullable RelayAttempt finish() {
    RelayAttempt a;
    Future<?> t;
    synchronized (this) {
      if (over) {
        return null;
      }
      over = true;
      a = attempt;
      attempt = null;
      t = timer;
    }
    if (t != null) {
      t.cancel(false);
    }
    if (a != null) {
      a.abort();
    }
    onDone.accept(this);
    return a;
  }
}

package org.cowslipyoke.matrix;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cowslipyoke.admission.AdmissionRequest;
import org.cowslipyoke.admission.PriorityClass;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.admission.ServerAdmission.PrefillEstimate;
import org.cowslipyoke.admission.ServerAvailability;
import org.cowslipyoke.admission.Ticket;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.platform.ModelEngine.Load;
import org.cowslipyoke.platform.ModelEngine.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Digests;

/** A server with the real admission in front of a fake engine and a fake plain service. */
final class MatrixServer {

  static final int ANSWER_TOKENS = 8;

  private static final long TOKEN_MS = 10;
  private static final long RESTART_MS = 500;
  private static final long CATCH_UP_MS = 50;
  private static final long KEEP_MS = 30_000;

  private static final class Run {
    final Message.Start start;
    final Ticket ticket;
    final List<String> pieces = new ArrayList<>();
    long channel;
    boolean ended;
    boolean failed;

    Run(Message.Start start, Ticket ticket, long channel) {
      this.start = start;
      this.ticket = ticket;
      this.channel = channel;
    }
  }

  private final MatrixWorld world;
  final Vm vm;
  final ServerAvailability standing;
  final ServerAdmission admission;
  final ConfigurationHolder configuration = new ConfigurationHolder();
  private final PauseDetector pauses;
  private final Map<String, Run> runs = new HashMap<>();
  private int incarnation = 1;
  private long frozenUntilMs;
  private long refuseSinceMs = Long.MAX_VALUE;
  boolean dead;

  MatrixServer(MatrixWorld world, Vm vm, SuspectList suspects) {
    this.world = world;
    this.vm = vm;
    pauses = new PauseDetector(world.clock);
    standing = new ServerAvailability(configuration, pauses, vm.failureDomain());
    admission = new ServerAdmission(world.clock, standing, configuration, suspects, new Random(1));
    configuration.offer(world.configuration());
    engineUp(false);
  }

  private void engineUp(boolean cold) {
    admission.onState(state());
    admission.onLoad(new Load(state().incarnation(), cold, 0, 0, 4, 10_000, 100));
  }

  private State state() {
    return new State(vm.vm() + "-" + incarnation, "m", "v1", List.of(), "serve", false, 0);
  }

  void engineCold() {
    incarnation++;
    engineUp(true);
    sweep();
  }

  void freeze(long ms) {
    frozenUntilMs = world.clock.nowMs() + ms;
  }

  /** Notes that operators or the platform do not want new work here any more. */
  void closeToNewWork() {
    refuseSinceMs = Math.min(refuseSinceMs, world.clock.nowMs());
  }

  void openToNewWork() {
    refuseSinceMs = Long.MAX_VALUE;
  }

  /** Runs a step on this server's process: never if dead, after the freeze if frozen. */
  void step(long delayMs, Runnable work) {
    world.time.after(
        delayMs,
        () -> {
          long left = frozenUntilMs - world.clock.nowMs();
          if (left > 0) {
            step(left, work);
          } else if (!dead) {
            catchUp();
            work.run();
          }
        });
  }

  private void catchUp() {
    if (!pauses.isCurrent()) {
      long pause = pauses.pauseCount();
      world.time.after(CATCH_UP_MS, () -> pauses.confirmRecovered(pause));
    }
  }

  /** Advances the pause detector as its periodic tick does while the process runs. */
  void tick() {
    if (!dead && world.clock.nowMs() >= frozenUntilMs) {
      catchUp();
      sweep();
      pump();
    }
  }

  void receive(long channel, Message message) {
    if (message instanceof Message.Probe p) {
      world.reach(Step.PROBED, this);
      ifAlive(() -> onProbe(channel, p));
    } else if (message instanceof Message.Start s) {
      onStart(channel, s);
    } else if (message instanceof Message.Resume r) {
      onResume(channel, r);
    } else if (message instanceof Message.Release r) {
      admission.release(r.reservationId());
    } else if (message instanceof Message.ServiceCall c) {
      onCall(channel, c);
    } else if (message instanceof Message.Cancel c) {
      runs.values().stream()
          .filter(r -> r.start.requestId().equals(c.requestId()))
          .forEach(r -> admission.withdraw(r.ticket));
    }
  }

  private void onProbe(long channel, Message.Probe p) {
    Optional<Run> running =
        runs.values().stream()
            .filter(r -> !r.failed && isSame(r, p.requestId(), p.organisation(), p.digest()))
            .findFirst();
    var granted = admission.probe(request(p), new PrefillEstimate(0, 0));
    if (granted.isLeft()) {
      send(channel, refused(granted.getLeft()));
      return;
    }
    world.reach(Step.RESERVED, this);
    var g = granted.get();
    long offset = running.map(r -> (long) r.pieces.size()).orElse(-1L);
    send(
        channel,
        new Message.Offer(
            g.reservationId(), 0, 0, 0, g.ttftMs(), g.queued(), g.active(), "v1", offset));
  }

  private void onStart(long channel, Message.Start s) {
    String key = s.organisation() + "/" + s.requestId() + "/" + s.attempt();
    if (runs.containsKey(key)) {
      runs.get(key).channel = channel;
      return;
    }
    var ticket = admission.start(s.reservationId(), request(s));
    if (ticket.isLeft()) {
      send(channel, refused(ticket.getLeft()));
      return;
    }
    runs.put(key, new Run(s, ticket.get(), channel));
    world.time.after(KEEP_MS, () -> runs.remove(key));
    step(world.fetchMs(), () -> fetchAndPump());
  }

  private void fetchAndPump() {
    world.reach(Step.FETCHED, this);
    ifAlive(
        () -> {
          world.fetchBlocks();
          sweep();
          pump();
        });
  }

  private void sweep() {
    for (Ticket.Dropped d : admission.sweep()) {
      runOf(d.ticket()).ifPresent(r -> drop(r, d.reason()));
    }
  }

  private void drop(Run run, Failure reason) {
    run.failed = true;
    runs.values().remove(run);
    send(
        run.channel,
        new Message.Failed(run.start.requestId(), reason.kind(), Outcome.NOT_RUN, "dropped"));
  }

  private void pump() {
    admission.activateNext().flatMap(this::runOf).ifPresent(this::submit);
  }

  private Optional<Run> runOf(Ticket t) {
    return runs.values().stream().filter(r -> r.ticket == t).findFirst();
  }

  private void submit(Run run) {
    world.reach(Step.SENT, this);
    ifAlive(
        () -> {
          Optional<Failure> late = admission.checkSubmission(run.ticket, state());
          if (late.isPresent()) {
            admission.onFinished(run.ticket, false);
            drop(run, late.get());
            return;
          }
          world.executed(run.start.requestId());
          world.check(
              admission.active() <= admission.allowance(), "above the cold-start allowance");
          world.check(
              world.clock.nowMs() - refuseSinceMs <= 3_000, "new work 3 s after the server closed");
          send(run.channel, new Message.Started("v1", 0, 4));
          for (int i = 0; i < run.start.offset(); i++) {
            run.pieces.add(MatrixWorld.piece(run.start.prompt(), i));
          }
          step(TOKEN_MS, () -> token(run));
        });
  }

  private void token(Run run) {
    int at = run.pieces.size();
    if (at == 0) {
      world.reach(Step.FIRST_TOKEN, this);
    } else if (at == ANSWER_TOKENS / 2) {
      world.reach(Step.MIDDLE, this);
    } else if (at == ANSWER_TOKENS) {
      world.reach(Step.END, this);
    }
    if (dead || run.failed) {
      return;
    }
    if (at == ANSWER_TOKENS) {
      end(run);
      return;
    }
    String piece = MatrixWorld.piece(run.start.prompt(), at);
    run.pieces.add(piece);
    send(run.channel, new Message.Tokens(run.start.requestId(), at, List.of(piece)));
    step(TOKEN_MS, () -> token(run));
  }

  private void end(Run run) {
    run.ended = true;
    admission.onFinished(run.ticket, true);
    send(run.channel, endOf(run));
    step(
        TOKEN_MS,
        () -> {
          world.reach(Step.EXPORTED, this);
          ifAlive(world::exportBlocks);
        });
    pump();
  }

  private static Message.End endOf(Run run) {
    byte[] text = String.join("", run.pieces).getBytes(StandardCharsets.UTF_8);
    long crc = Digests.crc32c(text);
    return new Message.End(run.start.requestId(), run.pieces.size(), crc, "stop");
  }

  private void onResume(long channel, Message.Resume r) {
    Optional<Run> run =
        runs.values().stream()
            .filter(x -> !x.failed && isSame(x, r.requestId(), r.organisation(), r.digest()))
            .findFirst();
    if (run.isEmpty()) {
      send(
          channel,
          new Message.Failed(r.requestId(), ErrorKind.NOT_FOUND, Outcome.UNKNOWN, "not held"));
      return;
    }
    Run x = run.get();
    x.channel = channel;
    int from = (int) Math.min(r.offset(), x.pieces.size());
    if (from < x.pieces.size()) {
      List<String> missed = List.copyOf(x.pieces.subList(from, x.pieces.size()));
      send(channel, new Message.Tokens(r.requestId(), from, missed));
    }
    if (x.ended) {
      send(channel, endOf(x));
    }
  }

  private void onCall(long channel, Message.ServiceCall c) {
    Optional<Failure> closed = standing.refusal();
    if (closed.isPresent()) {
      send(channel, refused(closed.get()));
      return;
    }
    world.reach(Step.SENT, this);
    ifAlive(
        () -> {
          world.executed(c.requestId());
          step(TOKEN_MS, () -> reply(channel, c));
        });
  }

  private void reply(long channel, Message.ServiceCall c) {
    world.reach(Step.END, this);
    byte[] body = MatrixWorld.expectedReply(c.requestId());
    send(
        channel,
        new Message.ServiceReply(c.requestId(), 201, List.of(), body, Digests.crc32c(body)));
  }

  /** The engine crashes with all its runs and restarts cold. */
  void crashEngine() {
    List<Run> lost = runs.values().stream().filter(r -> !r.ended && !r.failed).toList();
    admission.onCrash(lost.stream().map(r -> r.start.digest()).toList());
    for (Run r : lost) {
      r.failed = true;
      admission.withdraw(r.ticket);
      admission.onFinished(r.ticket, false);
      send(
          r.channel,
          new Message.Failed(
              r.start.requestId(), ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN, "crash"));
    }
    runs.values().removeIf(r -> r.failed);
    incarnation++;
    step(RESTART_MS, () -> engineUp(true));
  }

  private void ifAlive(Runnable work) {
    step(0, work);
  }

  private void send(long channel, Message message) {
    world.toEntry(this, channel, message);
  }

  private static Message.Refused refused(Failure f) {
    return new Message.Refused(f.kind(), "refused", f.retryAfterMs());
  }

  private static boolean isSame(Run r, String id, String organisation, String digest) {
    return r.start.requestId().equals(id)
        && r.start.organisation().equals(organisation)
        && r.start.digest().equals(digest);
  }

  private static AdmissionRequest request(Message.Probe p) {
    return new AdmissionRequest(
        p.requestId(),
        p.organisation(),
        p.model(),
        p.adapter(),
        p.weightVersion(),
        p.digest(),
        PriorityClass.INTERACTIVE,
        p.promptTokens(),
        p.deadlineMs(),
        p.suspect());
  }

  private static AdmissionRequest request(Message.Start s) {
    return new AdmissionRequest(
        s.requestId(),
        s.organisation(),
        s.model(),
        s.adapter(),
        s.weightVersion(),
        s.digest(),
        PriorityClass.INTERACTIVE,
        4,
        s.deadlineMs(),
        s.suspect());
  }
}

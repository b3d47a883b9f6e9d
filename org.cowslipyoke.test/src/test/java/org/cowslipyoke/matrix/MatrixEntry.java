package org.cowslipyoke.matrix;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.claim.Claim;
import org.cowslipyoke.claim.ClaimDecision;
import org.cowslipyoke.claim.ClaimLedger.RecordStatus;
import org.cowslipyoke.claim.ClaimRequest;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.request.Action;
import org.cowslipyoke.request.EntryStateMachine;
import org.cowslipyoke.request.RequestContext;
import org.cowslipyoke.routing.HashOnlyPolicy;
import org.cowslipyoke.routing.RetryBudget;
import org.jspecify.annotations.Nullable;

/**
 * Drives the state machine of a request as the entry does, and plays its caller: after the death of
 * the entry the caller repeats its request through another one.
 */
final class MatrixEntry {

  private static final long RECONNECT_MS = 200;
  private static final long RECORD_RETRY_MS = 1_000;

  private final MatrixWorld world;
  private final RequestContext context;
  private final Map<Long, MatrixServer> channels = new HashMap<>();
  private final Set<Long> silent = new HashSet<>();
  private final StringBuilder text = new StringBuilder();
  private MatrixRequest.Kind kind = MatrixRequest.Kind.IDEMPOTENT_PROMPT;
  private String requestId = "";
  private @Nullable EntryStateMachine run;
  private @Nullable Claim claim;
  private long relayed;
  private long channelBase;
  private int generation;
  private long frozenUntilMs;
  private boolean stopping;
  private int ranBefore;
  @Nullable String result;
  @Nullable Failure refusal;
  String answer = "";

  MatrixEntry(MatrixWorld world) {
    this.world = world;
    this.context =
        new RequestContext(
            world.clock,
            new HashOnlyPolicy(),
            new RetryBudget(world.clock),
            world.suspects,
            this::servers);
  }

  private List<Vm> servers() {
    return world.servers.stream().map(s -> s.vm).toList();
  }

  /** Sends a request of a caller and takes its first step. */
  void submit(MatrixRequest.Kind ofKind, String id) {
    kind = ofKind;
    requestId = id;
    relayed = 0;
    text.setLength(0);
    result = null;
    refusal = null;
    answer = "";
    begin(0);
  }

  private void begin(long skip) {
    ranBefore = world.executions(requestId);
    if (stopping) {
      stopping = false;
      refuse(Failure.of(ErrorKind.SHUTTING_DOWN, "the process shuts down"));
      return;
    }
    run = MatrixRequest.create(kind, requestId, skip, context, world.clock.nowMs());
    generation++;
    channelBase += 1_000;
    world.reach(Step.ACCEPTED, world.servers.get(0));
    step(0, r -> r.start());
  }

  private interface Event {
    List<Action> deliver(EntryStateMachine run);
  }

  /** Delivers an event to the present run, after the end of a freeze. */
  private void step(long delayMs, Event event) {
    int bound = generation;
    world.time.after(
        delayMs,
        () -> {
          long left = frozenUntilMs - world.clock.nowMs();
          EntryStateMachine r = run;
          if (left > 0) {
            step(left, event);
          } else if (r != null && bound == generation) {
            event.deliver(r).forEach(this::perform);
          }
        });
  }

  private void perform(Action action) {
    if (action instanceof Action.ToServer a) {
      send(a);
    } else if (action instanceof Action.Claim c) {
      claim(c);
    } else if (action instanceof Action.Relay r) {
      relayed = r.offset() + r.pieces().size();
      r.pieces().forEach(text::append);
    } else if (action instanceof Action.RecordCompletion r) {
      record(String.join("", r.completion().pieces()).getBytes(StandardCharsets.UTF_8));
    } else if (action instanceof Action.RecordReply r) {
      record(r.reply().body());
    } else if (action instanceof Action.RecordNotRun) {
      Claim c = claim;
      if (c != null) {
        world.ledger.recordNotRun(c);
      }
    } else if (action instanceof Action.SetTimer t) {
      step(Math.max(0, t.atMs() - world.clock.nowMs()), r -> r.onTick());
    } else if (action instanceof Action.ReportCrash c) {
      world.suspects.offer(world.suspects.current().withCrash(c.digest(), world.clock.wallMs()));
    } else if (action instanceof Action.ClearSuspect c) {
      world.suspects.offer(world.suspects.current().without(c.digest(), world.clock.wallMs()));
    } else {
      end(action);
    }
  }

  private void end(Action action) {
    if (action instanceof Action.Finish) {
      finish(text.toString());
    } else if (action instanceof Action.SendReply r) {
      finish(new String(r.reply().body(), StandardCharsets.UTF_8));
    } else if (action instanceof Action.SendRecorded r) {
      finish(new String(r.recorded(), StandardCharsets.UTF_8));
    } else if (action instanceof Action.Fail r) {
      refuse(r.failure());
    }
  }

  private void finish(String whole) {
    int bound = generation;
    world.reach(Step.RELAYED, usedServer());
    if (bound == generation && run != null) {
      answer = whole;
      result = "whole";
    }
  }

  private void refuse(Failure failure) {
    refusal = failure;
    result = failure.outcome().wireName() + " " + failure.kind().wireName();
  }

  private MatrixServer usedServer() {
    return channels.values().stream().findFirst().orElse(world.servers.get(0));
  }

  private void send(Action.ToServer a) {
    long channel = channelBase + a.channel();
    MatrixServer server =
        world.servers.stream().filter(s -> s.vm.equals(a.server())).findFirst().orElseThrow();
    boolean known = channels.containsKey(channel);
    if (server.dead) {
      ErrorKind kind = known ? ErrorKind.INCOMPLETE : ErrorKind.NO_SERVER;
      step(1, r -> r.onClosed(a.channel(), Failure.of(kind, "connection lost")));
      return;
    }
    channels.put(channel, server);
    if (!silent.contains(channel)) {
      server.step(1, () -> server.receive(channel, a.message()));
    }
  }

  void receive(MatrixServer from, long channel, Message message) {
    if (from.equals(channels.get(channel)) && !silent.contains(channel) && channel > channelBase) {
      step(0, r -> r.onMessage(channel - channelBase, message));
    }
  }

  private void claim(Action.Claim c) {
    int bound = generation;
    world.reach(Step.CLAIMED, world.servers.get(0));
    world.time.after(
        1 + world.tableDelayMs(),
        () -> {
          if (bound != generation) {
            return;
          }
          ClaimDecision d =
              world.ledger.claim(
                  new ClaimRequest(c.organisation(), c.key(), c.digest(), c.termMs()));
          if (d instanceof ClaimDecision.Granted g) {
            claim = g.claim();
          }
          step(0, r -> r.onClaim(d));
        });
  }

  private void record(byte[] bytes) {
    world.reach(Step.RECORDED, usedServer());
    int bound = generation;
    world.time.after(1 + world.tableDelayMs(), () -> tryRecord(bytes, bound, true));
  }

  private void tryRecord(byte[] bytes, int bound, boolean first) {
    Claim c = claim;
    if (bound != generation || c == null) {
      return;
    }
    if (world.ledger.record(c, bytes) == RecordStatus.RETRY) {
      world.time.after(RECORD_RETRY_MS, () -> tryRecord(bytes, bound, false));
    }
    if (first) {
      step(0, r -> r.onRecorded());
    }
  }

  /** The entry dies; its caller repeats a request that it may repeat through another one. */
  void die() {
    run = null;
    generation++;
    if (kind == MatrixRequest.Kind.UNKEYED_CALL) {
      result = "connection lost";
      return;
    }
    world.time.after(RECONNECT_MS, () -> begin(kind.isPrompt() && !kind.keyed() ? relayed : 0));
  }

  void freeze(long ms) {
    frozenUntilMs = world.clock.nowMs() + ms;
  }

  void stopAdmitting() {
    stopping = true;
  }

  /** Returns how often the last submission of the request was executed. */
  int executions() {
    return world.executions(requestId) - ranBefore;
  }

  /** All connections to a server that are open now go silent. */
  void silence(MatrixServer server) {
    channels.forEach(
        (c, s) -> {
          if (s.equals(server)) {
            silent.add(c);
          }
        });
  }

  void serverDied(MatrixServer server) {
    List<Long> lost =
        channels.entrySet().stream()
            .filter(e -> e.getValue().equals(server) && !silent.contains(e.getKey()))
            .map(Map.Entry::getKey)
            .filter(c -> c > channelBase)
            .toList();
    for (long c : lost) {
      step(
          0, r -> r.onClosed(c - channelBase, Failure.of(ErrorKind.INCOMPLETE, "connection lost")));
    }
  }
}

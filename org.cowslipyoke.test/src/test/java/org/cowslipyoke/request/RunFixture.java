package org.cowslipyoke.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.routing.HashOnlyPolicy;
import org.cowslipyoke.routing.LeastLoadedPolicy;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.routing.RoutingPolicy;
import org.cowslipyoke.routing.RoutingRequest;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Digests;

/** A run with a manual clock; collects all actions in order. */
final class RunFixture {

  static final String ID = "r-1";

  final ManualClock clock = new ManualClock();
  final SuspectList suspects = new SuspectList();
  final RetryBudget retries = new RetryBudget(clock);
  final List<Vm> servers = new ArrayList<>();
  final List<Action> actions = new ArrayList<>();
  private final RequestSpec spec;
  final RequestStateMachine run;

  private RunFixture(RoutingPolicy policy, Optional<String> key, long skip, int serverCount) {
    for (int i = 0; i < serverCount; i++) {
      servers.add(vm("s" + i));
    }
    byte[] prompt = "<|user|>\nhello\n".getBytes(StandardCharsets.UTF_8);
    RoutingRequest shape = new RoutingRequest("org-a", "m", new byte[] {1}, 4);
    spec =
        new RequestSpec(
            ID,
            shape,
            "",
            "v1",
            "d1",
            "interactive",
            clock.nowMs() + 60_000,
            8,
            prompt,
            List.of(),
            key,
            skip);
    run =
        new RequestStateMachine(
            spec, new RequestContext(clock, policy, retries, suspects, () -> servers));
  }

  static RunFixture idempotent() {
    return new RunFixture(new HashOnlyPolicy(), Optional.empty(), 0, 4);
  }

  static RunFixture broad() {
    return new RunFixture(new LeastLoadedPolicy(), Optional.empty(), 0, 4);
  }

  static RunFixture keyed() {
    return new RunFixture(new HashOnlyPolicy(), Optional.of("k1"), 0, 4);
  }

  static RunFixture reconnecting(long skip) {
    return new RunFixture(new HashOnlyPolicy(), Optional.empty(), skip, 4);
  }

  static Vm vm(String name) {
    return new Vm(name, "127.0.0.1", 1, VmList.Role.SERVER, "fd", "g", VmList.State.LIVE);
  }

  static Message.Offer offer(long reservation, int queued, long runningOffset) {
    return new Message.Offer(reservation, 0, 0, 0, 10, queued, 0, "v1", runningOffset);
  }

  static Message.Tokens tokens(long offset, String... pieces) {
    return new Message.Tokens(ID, offset, List.of(pieces));
  }

  static Message.End end(long count, String text) {
    long crc = Digests.crc32c(text.getBytes(StandardCharsets.UTF_8));
    return new Message.End(ID, count, crc, "stop");
  }

  static Failure broken() {
    return Failure.of(ErrorKind.INCOMPLETE, "reset");
  }

  static Failure unsent() {
    return Failure.of(ErrorKind.NO_SERVER, "not sent");
  }

  RunFixture take(List<Action> next) {
    actions.addAll(next);
    return this;
  }

  RunFixture message(long channel, Message m) {
    return take(run.onMessage(channel, m));
  }

  RunFixture closed(Failure f) {
    return take(run.onClosed(channel(), f));
  }

  RunFixture tick(long ms) {
    clock.advance(ms);
    return take(run.onTick());
  }

  /** Answers the last probe with an offer, so that the run starts. */
  RunFixture offered() {
    return message(last(Action.Probe.class).channel(), offer(7, 0, -1));
  }

  /** Returns the channel of the last start, resume or probe. */
  long channel() {
    return last(Action.ToServer.class).channel();
  }

  <A extends Action> List<A> all(Class<A> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <A extends Action> A last(Class<A> type) {
    List<A> found = all(type);
    if (found.isEmpty()) {
      throw new AssertionError("no " + type.getSimpleName() + " in " + actions);
    }
    return found.get(found.size() - 1);
  }

  Failure refusal() {
    return last(Action.Fail.class).failure();
  }

  String relayed() {
    StringBuilder s = new StringBuilder();
    all(Action.Relay.class).forEach(r -> r.pieces().forEach(s::append));
    return s.toString();
  }
}

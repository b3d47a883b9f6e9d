package org.cowslipyoke.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.routing.HashOnlyPolicy;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.util.Digests;
import org.junit.jupiter.api.Test;

/** Guards against sending a call twice that must not be repeated, and against wrong outcomes. */
class ServiceCallStateMachineTest {

  private final ManualClock clock = new ManualClock();
  private final List<Action> actions = new ArrayList<>();
  private final List<Vm> servers = List.of(RequestFixture.vm("s0"), RequestFixture.vm("s1"));

  private ServiceCallStateMachine run(boolean repeatable) {
    ServiceSpec spec =
        new ServiceSpec(
            "r-1",
            "org-a",
            "POST",
            "/book",
            List.of(),
            new byte[0],
            "d",
            repeatable,
            Optional.empty(),
            clock.nowMs() + 10_000);
    RequestContext context =
        new RequestContext(
            clock, new HashOnlyPolicy(), new RetryBudget(clock), new SuspectList(), () -> servers);
    ServiceCallStateMachine r = new ServiceCallStateMachine(spec, context);
    actions.addAll(r.start());
    return r;
  }

  private List<Action.Call> calls() {
    return actions.stream()
        .filter(Action.Call.class::isInstance)
        .map(Action.Call.class::cast)
        .toList();
  }

  private Failure refusal() {
    return actions.stream()
        .filter(Action.Fail.class::isInstance)
        .map(a -> ((Action.Fail) a).failure())
        .findFirst()
        .orElseThrow();
  }

  private static ServiceReply reply(String id, String body, long crcShift) {
    byte[] b = body.getBytes(UTF_8);
    return new ServiceReply(id, 200, List.of(), b, Digests.crc32c(b) + crcShift);
  }

  @Test
  void lostCallIsRepeatedOnlyIfRepeatable() {
    actions.addAll(run(true).onClosed(1, RequestFixture.connectionReset()));
    assertEquals(2, calls().size());
    actions.clear();
    actions.addAll(run(false).onClosed(1, RequestFixture.connectionReset()));
    assertEquals(1, calls().size());
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, refusal().kind());
  }

  @Test
  void callThatWasNotSentGoesToAnotherServer() {
    actions.addAll(run(false).onClosed(1, RequestFixture.notSent()));
    assertEquals(2, calls().size());
  }

  @Test
  void refusedCallIsNotRun() {
    ServiceCallStateMachine r = run(false);
    actions.addAll(r.onMessage(1, new Message.Refused(ErrorKind.SERVER_LEAVING, "", 0)));
    assertEquals(Outcome.NOT_RUN, refusal().outcome());
    assertEquals(1, calls().size());
  }

  @Test
  void repliesOfOtherCallsAndCorruptRepliesAreNotRelayed() {
    ServiceCallStateMachine r = run(false);
    actions.addAll(r.onMessage(1, reply("r-2", "other", 0)));
    assertTrue(actions.stream().noneMatch(Action.SendReply.class::isInstance));
    actions.addAll(r.onMessage(1, reply("r-1", "mine", 1)));
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, refusal().kind());
  }

  @Test
  void completeReplyIsRelayed() {
    actions.addAll(run(false).onMessage(1, reply("r-1", "mine", 0)));
    assertTrue(actions.stream().anyMatch(Action.SendReply.class::isInstance));
  }

  @Test
  void deadlineEndsCallWithUnknownOutcome() {
    ServiceCallStateMachine r = run(false);
    clock.advance(10_000);
    actions.addAll(r.onTick());
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, refusal().kind());
    assertTrue(r.isDone());
  }
}

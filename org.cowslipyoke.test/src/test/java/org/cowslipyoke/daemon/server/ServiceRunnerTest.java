package org.cowslipyoke.daemon.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.ServiceCall;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.platform.PlainService;
import org.cowslipyoke.util.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** I7: guards against repeated actions and against false claims about calls. */
class ServiceRunnerTest {

  private static final byte[] BODY = {1, 2, 3};

  private final Deque<Either<Failure, PlainService.Reply>> answers = new ArrayDeque<>();
  private final List<PlainService.Call> calls = new ArrayList<>();
  private final ServerFixture fix = new ServerFixture(this::answer);

  @AfterEach
  void close() {
    fix.close();
  }

  @Test
  void passesTheReplyOnWithChecksum() {
    reply();
    ServiceReply r = call(false).next(ServiceReply.class);
    assertEquals(201, r.status());
    assertEquals(Digests.crc32c(BODY), r.checksum());
  }

  @Test
  void lostAnswerOfNonIdempotentCallIsUnknownAndNotRepeated() {
    fail(ErrorKind.OUTCOME_UNKNOWN);
    reply();
    assertEquals(Outcome.UNKNOWN, call(false).next(Failed.class).outcome());
    assertEquals(1, calls.size());
  }

  @Test
  void lostAnswerOfIdempotentCallIsRepeatedOnce() {
    fail(ErrorKind.OUTCOME_UNKNOWN);
    reply();
    call(true).next(ServiceReply.class);
    assertEquals(2, calls.size());
  }

  @Test
  void callThatWasNotSentIsNotRun() {
    fail(ErrorKind.NO_SERVER);
    assertEquals(ErrorKind.NO_SERVER, call(false).next(Refused.class).kind());
  }

  @Test
  void repeatThatWasNotSentLeavesTheFirstCallUnknown() {
    fail(ErrorKind.OUTCOME_UNKNOWN);
    fail(ErrorKind.NO_SERVER);
    assertEquals(Outcome.UNKNOWN, call(true).next(Failed.class).outcome());
  }

  @Test
  void refusesWhileTheFailureDomainIsOutOrTheProcessStops() {
    fix.domain(DomainState.OUT);
    assertEquals(ErrorKind.DOMAIN_OUT, call(true).next(Refused.class).kind());
    fix.domain(DomainState.IN);
    fix.role.stopAdmitting();
    assertEquals(ErrorKind.SHUTTING_DOWN, call(true).next(Refused.class).kind());
    assertEquals(0, calls.size());
  }

  private RecordingStream call(boolean idempotent) {
    return new RecordingStream(fix.role)
        .ask(new ServiceCall("c", "org", "POST", "/bookings", List.of(), BODY, idempotent, 1_000));
  }

  private void reply() {
    answers.add(Either.right(new PlainService.Reply(201, List.of(), BODY)));
  }

  private void fail(ErrorKind kind) {
    answers.add(Either.left(Failure.of(kind, "fault")));
  }

  private Either<Failure, PlainService.Reply> answer(PlainService.Call call, long deadlineMs) {
    calls.add(call);
    return answers.remove();
  }
}

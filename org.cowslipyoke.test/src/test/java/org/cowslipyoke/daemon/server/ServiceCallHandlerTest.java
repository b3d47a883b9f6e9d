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

/** Guards against repeated non-idempotent calls and against wrong outcomes of calls. */
class ServiceCallHandlerTest {

  private static final byte[] BODY = {1, 2, 3};

  private final Deque<Either<Failure, PlainService.Reply>> answers = new ArrayDeque<>();
  private final List<PlainService.Call> calls = new ArrayList<>();
  private final ServerFixture fixture = new ServerFixture(this::answer);

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void relaysTheResponseWithChecksum() {
    serviceResponds();
    ServiceReply r = call(false).next(ServiceReply.class);
    assertEquals(201, r.status());
    assertEquals(Digests.crc32c(BODY), r.checksum());
  }

  @Test
  void nonIdempotentCallWithLostResponseIsUnknownAndNotRetried() {
    serviceFails(ErrorKind.OUTCOME_UNKNOWN);
    serviceResponds();
    assertEquals(Outcome.UNKNOWN, call(false).next(Failed.class).outcome());
    assertEquals(1, calls.size());
  }

  @Test
  void idempotentCallWithLostResponseIsRetriedOnce() {
    serviceFails(ErrorKind.OUTCOME_UNKNOWN);
    serviceResponds();
    call(true).next(ServiceReply.class);
    assertEquals(2, calls.size());
  }

  @Test
  void callThatWasNotSentIsNotRun() {
    serviceFails(ErrorKind.NO_SERVER);
    assertEquals(ErrorKind.NO_SERVER, call(false).next(Refused.class).kind());
  }

  @Test
  void retryThatWasNotSentLeavesTheFirstCallUnknown() {
    serviceFails(ErrorKind.OUTCOME_UNKNOWN);
    serviceFails(ErrorKind.NO_SERVER);
    assertEquals(Outcome.UNKNOWN, call(true).next(Failed.class).outcome());
  }

  @Test
  void refusesWhileTheFailureDomainIsOutOrTheProcessStops() {
    fixture.setDomainState(DomainState.OUT);
    assertEquals(ErrorKind.DOMAIN_OUT, call(true).next(Refused.class).kind());
    fixture.setDomainState(DomainState.IN);
    fixture.role.stopAdmitting();
    assertEquals(ErrorKind.SHUTTING_DOWN, call(true).next(Refused.class).kind());
    assertEquals(0, calls.size());
  }

  private RecordingStream call(boolean idempotent) {
    return new RecordingStream(fixture.role)
        .deliver(
            new ServiceCall("c", "org", "POST", "/bookings", List.of(), BODY, idempotent, 1_000));
  }

  private void serviceResponds() {
    answers.add(Either.right(new PlainService.Reply(201, List.of(), BODY)));
  }

  private void serviceFails(ErrorKind kind) {
    answers.add(Either.left(Failure.of(kind, "fault")));
  }

  private Either<Failure, PlainService.Reply> answer(PlainService.Call call, long deadlineMs) {
    calls.add(call);
    return answers.remove();
  }
}

package org.cowslipyoke.daemon.server;

import static org.cowslipyoke.daemon.server.ServerFixture.await;
import static org.cowslipyoke.daemon.server.ServerFixture.probe;
import static org.cowslipyoke.daemon.server.ServerFixture.start;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message.Cancel;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Resume;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.util.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the answers of the role while engine, entries and operators misbehave. */
class ServerRoleTest {

  private final ServerFixture fix = new ServerFixture();

  @AfterEach
  void close() {
    fix.close();
  }

  @Test
  void i6_relaysTheWholeAnswerWithCountAndChecksum() {
    RecordingStream entry = fix.run("r");
    fix.engine.emit(0, "Olá", ", mundo");
    fix.engine.finish(0);
    assertEquals("v1", entry.next(Started.class).weightVersion());
    assertEquals(List.of("Olá", ", mundo"), entry.pieces(0, 2));
    End end = entry.next(End.class);
    assertEquals(2, end.tokenCount());
    assertEquals(crc("Olá, mundo"), end.checksum());
    await(() -> fix.role.running() == 0);
  }

  @Test
  void i6_lostTokensOfTheEngineAreReadAgain() {
    RecordingStream entry = fix.run("r");
    fix.engine.skipTokens(0, 1);
    fix.engine.emit(0, "a", "b", "c");
    entry.next(Started.class);
    assertEquals(List.of("a", "b", "c"), entry.pieces(0, 3));
    fix.engine.breakStreams();
    fix.engine.emit(0, "d");
    fix.engine.finish(0);
    assertEquals(List.of("d"), entry.pieces(3, 1));
    assertEquals(crc("abcd"), entry.next(End.class).checksum());
    assertEquals(1, fix.engine.generations().size(), "a broken stream is resumed, not run again");
  }

  @Test
  void i6_otherEntryContinuesAfterTheStreamWasLost() {
    RecordingStream first = fix.run("r");
    fix.engine.emit(0, "a", "b");
    first.next(Started.class);
    first.pieces(0, 2);
    first.lose();
    fix.engine.emit(0, "c");
    fix.engine.finish(0);
    RecordingStream second = new RecordingStream(fix.role);
    second.ask(new Resume("r", "org", "digest-r", 1));
    second.next(Started.class);
    assertEquals(List.of("b", "c"), second.pieces(1, 2));
    assertEquals(crc("abc"), second.next(End.class).checksum());
  }

  @Test
  void i2_resumeNeedsTheSameOrganisationAndDigest() {
    fix.run("r");
    fix.engine.emit(0, "secret");
    for (Resume r :
        List.of(new Resume("r", "other", "digest-r", 0), new Resume("r", "org", "digest-x", 0))) {
      Failed f = new RecordingStream(fix.role).ask(r).next(Failed.class);
      assertEquals(ErrorKind.NOT_FOUND, f.kind());
      assertEquals(Outcome.UNKNOWN, f.outcome());
    }
  }

  @Test
  void i2_cancelReachesTheRunOfItsOwnStreamOnly() {
    final RecordingStream entry = fix.run("r");
    new RecordingStream(fix.role).ask(new Cancel("r")).next(Failed.class);
    fix.engine.emit(0, "a");
    fix.engine.finish(0);
    entry.next(Started.class);
    entry.pieces(0, 1);
    entry.next(End.class);
  }

  @Test
  void repeatedStartAttachesToTheRun() {
    RecordingStream entry = new RecordingStream(fix.role);
    long reservation = fix.reserve(entry, "r");
    entry.ask(start("r", reservation));
    await(() -> fix.engine.generations().size() == 1);
    RecordingStream again = new RecordingStream(fix.role).ask(start("r", reservation));
    fix.engine.emit(0, "a");
    fix.engine.finish(0);
    for (RecordingStream s : List.of(entry, again)) {
      s.next(Started.class);
      s.pieces(0, 1);
      s.next(End.class);
    }
    assertEquals(1, fix.engine.generations().size());
  }

  @Test
  void probeOfRunningRequestTellsItsOffset() {
    RecordingStream entry = fix.run("r");
    fix.engine.emit(0, "a", "b");
    entry.next(Started.class);
    entry.pieces(0, 2);
    Offer offer = new RecordingStream(fix.role).ask(probe("r")).next(Offer.class);
    assertEquals(2, offer.runningOffset());
  }

  @Test
  void i7_waitingRunsReturnAsNotRunWhenTheServerTurnsCold() {
    fix.warm();
    final int before = fix.engine.generations().size();
    for (int i = 0; i < 8; i++) {
      fix.run("running-" + i);
    }
    RecordingStream waiting = fix.queue("waiting");
    fix.engine.setCold(true);
    fix.poll();
    assertEquals(ErrorKind.SERVER_COLD, waiting.next(Refused.class).kind());
    assertEquals(before + 8, fix.engine.generations().size());
    Failed resumed =
        new RecordingStream(fix.role)
            .ask(new Resume("waiting", "org", "digest-waiting", 0))
            .next(Failed.class);
    assertEquals(Outcome.NOT_RUN, resumed.outcome());
  }

  @Test
  void i4_restartBeforeTheNextPollReturnsTheRun() {
    fix.warm();
    final int before = fix.engine.generations().size();
    fix.engine.crash("second");
    RecordingStream entry = new RecordingStream(fix.role);
    entry.ask(start("r", fix.reserve(entry, "r")));
    assertEquals(ErrorKind.SERVER_COLD, entry.next(Refused.class).kind());
    assertEquals(before, fix.engine.generations().size());
    assertEquals(1, fix.role.admission().orElseThrow().allowance());
  }

  @Test
  void crashIsReportedForEveryRunInFlight() {
    fix.warm();
    List<RecordingStream> entries = List.of(fix.run("r1"), fix.run("r2"));
    fix.engine.crash("second");
    fix.poll();
    for (RecordingStream s : entries) {
      Failed f = s.next(Failed.class);
      assertEquals(ErrorKind.ENGINE_CRASHED, f.kind());
      assertEquals(Outcome.UNKNOWN, f.outcome());
    }
    await(() -> fix.role.admission().orElseThrow().active() == 0);
  }

  @Test
  void unhealthyEngineThatResetsHasCrashed() {
    RecordingStream entry = fix.run("r");
    fix.engine.setUnreachable(true);
    fix.engine.breakStreams();
    assertEquals(ErrorKind.ENGINE_CRASHED, entry.next(Failed.class).kind());
  }

  @Test
  void i7_unreachableEngineIsNotRun() {
    RecordingStream entry = new RecordingStream(fix.role);
    long reservation = fix.reserve(entry, "r");
    fix.engine.setUnreachable(true);
    entry.ask(start("r", reservation));
    assertEquals(ErrorKind.NO_SERVER, entry.next(Refused.class).kind());
    assertTrue(fix.engine.generations().isEmpty());
  }

  @Test
  void i3_runThatFoundBlocksOfOtherWeightsIsDropped() {
    RecordingStream entry = fix.run("r");
    fix.engine.startRunsWith("v2", 1024);
    fix.engine.emit(0, "wrong");
    assertEquals(ErrorKind.WRONG_VERSION, entry.next(Refused.class).kind());
    assertEquals(1, fix.engine.resumesAndCancels().get(1), "dropped at the engine first");
  }

  @Test
  void i3_runWithoutReuseContinuesAcrossSwap() {
    final RecordingStream entry = fix.run("r");
    fix.engine.setWeightVersion("v2");
    fix.poll();
    fix.engine.emit(0, "a");
    fix.engine.finish(0);
    assertEquals("v2", entry.next(Started.class).weightVersion());
    entry.pieces(0, 1);
    entry.next(End.class);
  }

  @Test
  void i5_domainOutReturnsWaitingWorkAndRunningWorkGoesOn() {
    assertReturnsWaitingWork(() -> fix.domain(DomainState.OUT), ErrorKind.DOMAIN_OUT);
  }

  @Test
  void i9_leavingReturnsWaitingWorkAndRunningWorkGoesOn() {
    assertReturnsWaitingWork(
        () -> fix.vms.set(0, ServerFixture.server(State.LEAVING)), ErrorKind.SERVER_LEAVING);
  }

  private void assertReturnsWaitingWork(Runnable fault, ErrorKind kind) {
    final RecordingStream running = fix.run("running");
    final RecordingStream waiting = fix.queue("waiting");
    fault.run();
    fix.role.readOwnRow();
    assertEquals(kind, waiting.next(Refused.class).kind());
    RecordingStream fresh = new RecordingStream(fix.role).ask(probe("n"));
    assertEquals(kind, fresh.next(Refused.class).kind());
    fix.engine.finish(0);
    running.next(Started.class);
    running.next(End.class);
    assertEquals(1, fix.engine.generations().size());
  }

  @Test
  void i10_shutdownFinishesWaitingAndRunningWork() {
    final RecordingStream running = fix.run("running");
    final RecordingStream waiting = fix.queue("waiting");
    RecordingStream late = new RecordingStream(fix.role);
    final long reservation = fix.reserve(late, "late");
    fix.role.stopAdmitting();
    assertEquals(
        ErrorKind.SHUTTING_DOWN, late.ask(start("late", reservation)).next(Refused.class).kind());
    assertEquals(2, fix.role.running());
    fix.engine.finish(0);
    running.next(Started.class);
    running.next(End.class);
    await(() -> fix.engine.generations().size() == 2);
    fix.engine.finish(1);
    waiting.next(Started.class);
    waiting.next(End.class);
    await(() -> fix.role.running() == 0);
  }

  @Test
  void i7_cancelledWhileWaitingIsNotRun() {
    final RecordingStream running = fix.run("running");
    RecordingStream waiting = fix.queue("waiting");
    assertEquals(Outcome.NOT_RUN, waiting.ask(new Cancel("waiting")).next(Failed.class).outcome());
    Failed ran = running.ask(new Cancel("running")).next(Failed.class);
    assertEquals(ErrorKind.CANCELLED, ran.kind());
    assertEquals(Outcome.UNKNOWN, ran.outcome());
    await(() -> fix.role.admission().orElseThrow().active() == 0);
    assertEquals(1, fix.engine.generations().size());
  }

  @Test
  void runThatNoEntryComesBackForIsCancelled() {
    RecordingStream entry = fix.run("r");
    entry.lose();
    fix.clock.advance(RunRegistry.KEEP_MS - 1);
    fix.role.expire();
    assertEquals(0, fix.engine.resumesAndCancels().get(1));
    await(
        () -> {
          fix.clock.advance(1);
          fix.role.expire();
          return fix.engine.resumesAndCancels().get(1) > 0;
        });
    await(() -> fix.role.admission().orElseThrow().active() == 0);
  }

  private static long crc(String text) {
    return Digests.crc32c(text.getBytes(StandardCharsets.UTF_8));
  }
}

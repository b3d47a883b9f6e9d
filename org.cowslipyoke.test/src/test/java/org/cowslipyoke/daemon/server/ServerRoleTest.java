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

/**
 * Tests the messages that the server role sends to entries, also when the engine crashes, streams
 * break or the server is taken out of service.
 */
class ServerRoleTest {

  private final ServerFixture fixture = new ServerFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void relaysTheWholeOutputWithCountAndChecksum() {
    RecordingStream entry = fixture.startRun("r");
    fixture.engine.emit(0, "Olá", ", mundo");
    fixture.engine.finish(0);
    assertEquals("v1", entry.next(Started.class).weightVersion());
    assertEquals(List.of("Olá", ", mundo"), entry.nextPieces(0, 2));
    End end = entry.next(End.class);
    assertEquals(2, end.tokenCount());
    assertEquals(crc("Olá, mundo"), end.checksum());
    await(() -> fixture.role.running() == 0);
  }

  @Test
  void missingTokensAreReadAgainFromTheEngine() {
    RecordingStream entry = fixture.startRun("r");
    fixture.engine.skipTokens(0, 1);
    fixture.engine.emit(0, "a", "b", "c");
    entry.next(Started.class);
    assertEquals(List.of("a", "b", "c"), entry.nextPieces(0, 3));
    fixture.engine.breakStreams();
    fixture.engine.emit(0, "d");
    fixture.engine.finish(0);
    assertEquals(List.of("d"), entry.nextPieces(3, 1));
    assertEquals(crc("abcd"), entry.next(End.class).checksum());
    assertEquals(
        1,
        fixture.engine.generations().size(),
        "a broken stream is resumed, the run is not started again");
  }

  @Test
  void anotherEntryResumesAfterTheStreamWasLost() {
    RecordingStream first = fixture.startRun("r");
    fixture.engine.emit(0, "a", "b");
    first.next(Started.class);
    first.nextPieces(0, 2);
    first.disconnect();
    fixture.engine.emit(0, "c");
    fixture.engine.finish(0);
    RecordingStream second = new RecordingStream(fixture.role);
    second.deliver(new Resume("r", "org", "digest-r", 1));
    second.next(Started.class);
    assertEquals(List.of("b", "c"), second.nextPieces(1, 2));
    assertEquals(crc("abc"), second.next(End.class).checksum());
  }

  @Test
  void resumeRequiresTheSameOrganisationAndDigest() {
    fixture.startRun("r");
    fixture.engine.emit(0, "secret");
    for (Resume r :
        List.of(new Resume("r", "other", "digest-r", 0), new Resume("r", "org", "digest-x", 0))) {
      Failed f = new RecordingStream(fixture.role).deliver(r).next(Failed.class);
      assertEquals(ErrorKind.NOT_FOUND, f.kind());
      assertEquals(Outcome.UNKNOWN, f.outcome());
    }
  }

  @Test
  void cancelAppliesOnlyToTheRunOfItsStream() {
    final RecordingStream entry = fixture.startRun("r");
    new RecordingStream(fixture.role).deliver(new Cancel("r")).next(Failed.class);
    fixture.engine.emit(0, "a");
    fixture.engine.finish(0);
    entry.next(Started.class);
    entry.nextPieces(0, 1);
    entry.next(End.class);
  }

  @Test
  void repeatedStartAttachesToTheRun() {
    RecordingStream entry = new RecordingStream(fixture.role);
    long reservation = fixture.reserve(entry, "r");
    entry.deliver(start("r", reservation));
    await(() -> fixture.engine.generations().size() == 1);
    RecordingStream again = new RecordingStream(fixture.role).deliver(start("r", reservation));
    fixture.engine.emit(0, "a");
    fixture.engine.finish(0);
    for (RecordingStream s : List.of(entry, again)) {
      s.next(Started.class);
      s.nextPieces(0, 1);
      s.next(End.class);
    }
    assertEquals(1, fixture.engine.generations().size());
  }

  @Test
  void probeOfRunningRequestReturnsItsOffset() {
    RecordingStream entry = fixture.startRun("r");
    fixture.engine.emit(0, "a", "b");
    entry.next(Started.class);
    entry.nextPieces(0, 2);
    Offer offer = new RecordingStream(fixture.role).deliver(probe("r")).next(Offer.class);
    assertEquals(2, offer.runningOffset());
  }

  @Test
  void queuedRunsAreRefusedAsNotRunWhenTheServerTurnsCold() {
    fixture.warmUp();
    final int before = fixture.engine.generations().size();
    for (int i = 0; i < 8; i++) {
      fixture.startRun("running-" + i);
    }
    RecordingStream waiting = fixture.queueRun("waiting");
    fixture.engine.setCold(true);
    fixture.poll();
    assertEquals(ErrorKind.SERVER_COLD, waiting.next(Refused.class).kind());
    assertEquals(before + 8, fixture.engine.generations().size());
    Failed resumed =
        new RecordingStream(fixture.role)
            .deliver(new Resume("waiting", "org", "digest-waiting", 0))
            .next(Failed.class);
    assertEquals(Outcome.NOT_RUN, resumed.outcome());
  }

  @Test
  void runIsRefusedAfterRestartBeforeTheNextPoll() {
    fixture.warmUp();
    final int before = fixture.engine.generations().size();
    fixture.engine.crash("second");
    RecordingStream entry = new RecordingStream(fixture.role);
    entry.deliver(start("r", fixture.reserve(entry, "r")));
    assertEquals(ErrorKind.SERVER_COLD, entry.next(Refused.class).kind());
    assertEquals(before, fixture.engine.generations().size());
    assertEquals(1, fixture.role.admission().orElseThrow().allowance());
  }

  @Test
  void crashIsReportedForEveryRunInFlight() {
    fixture.warmUp();
    List<RecordingStream> entries = List.of(fixture.startRun("r1"), fixture.startRun("r2"));
    fixture.engine.crash("second");
    fixture.poll();
    for (RecordingStream s : entries) {
      Failed f = s.next(Failed.class);
      assertEquals(ErrorKind.ENGINE_CRASHED, f.kind());
      assertEquals(Outcome.UNKNOWN, f.outcome());
    }
    await(() -> fixture.role.admission().orElseThrow().active() == 0);
  }

  @Test
  void brokenStreamOfUnreachableEngineCountsAsCrash() {
    RecordingStream entry = fixture.startRun("r");
    fixture.engine.setUnreachable(true);
    fixture.engine.breakStreams();
    assertEquals(ErrorKind.ENGINE_CRASHED, entry.next(Failed.class).kind());
  }

  @Test
  void runIsRefusedIfTheEngineIsUnreachable() {
    RecordingStream entry = new RecordingStream(fixture.role);
    long reservation = fixture.reserve(entry, "r");
    fixture.engine.setUnreachable(true);
    entry.deliver(start("r", reservation));
    assertEquals(ErrorKind.NO_SERVER, entry.next(Refused.class).kind());
    assertTrue(fixture.engine.generations().isEmpty());
  }

  @Test
  void runThatReusedBlocksOfOtherWeightsIsRefused() {
    RecordingStream entry = fixture.startRun("r");
    fixture.engine.startRunsWith("v2", 1024);
    fixture.engine.emit(0, "wrong");
    assertEquals(ErrorKind.WRONG_VERSION, entry.next(Refused.class).kind());
    assertEquals(
        1,
        fixture.engine.resumesAndCancels().get(1),
        "the run is cancelled at the engine before the refusal");
  }

  @Test
  void runWithoutReuseContinuesAcrossWeightSwap() {
    final RecordingStream entry = fixture.startRun("r");
    fixture.engine.setWeightVersion("v2");
    fixture.poll();
    fixture.engine.emit(0, "a");
    fixture.engine.finish(0);
    assertEquals("v2", entry.next(Started.class).weightVersion());
    entry.nextPieces(0, 1);
    entry.next(End.class);
  }

  @Test
  void domainOutRefusesQueuedRunsAndRunningRunsContinue() {
    assertRefusesQueuedRuns(() -> fixture.setDomainState(DomainState.OUT), ErrorKind.DOMAIN_OUT);
  }

  @Test
  void leavingServerRefusesQueuedRunsAndRunningRunsContinue() {
    assertRefusesQueuedRuns(
        () -> fixture.vms.set(0, ServerFixture.server(State.LEAVING)), ErrorKind.SERVER_LEAVING);
  }

  private void assertRefusesQueuedRuns(Runnable fault, ErrorKind kind) {
    final RecordingStream running = fixture.startRun("running");
    final RecordingStream waiting = fixture.queueRun("waiting");
    fault.run();
    fixture.role.readOwnRow();
    assertEquals(kind, waiting.next(Refused.class).kind());
    RecordingStream fresh = new RecordingStream(fixture.role).deliver(probe("n"));
    assertEquals(kind, fresh.next(Refused.class).kind());
    fixture.engine.finish(0);
    running.next(Started.class);
    running.next(End.class);
    assertEquals(1, fixture.engine.generations().size());
  }

  @Test
  void shutdownFinishesQueuedAndRunningRuns() {
    final RecordingStream running = fixture.startRun("running");
    final RecordingStream waiting = fixture.queueRun("waiting");
    RecordingStream late = new RecordingStream(fixture.role);
    final long reservation = fixture.reserve(late, "late");
    fixture.role.stopAdmitting();
    assertEquals(
        ErrorKind.SHUTTING_DOWN,
        late.deliver(start("late", reservation)).next(Refused.class).kind());
    assertEquals(2, fixture.role.running());
    fixture.engine.finish(0);
    running.next(Started.class);
    running.next(End.class);
    await(() -> fixture.engine.generations().size() == 2);
    fixture.engine.finish(1);
    waiting.next(Started.class);
    waiting.next(End.class);
    await(() -> fixture.role.running() == 0);
  }

  @Test
  void runCancelledWhileQueuedIsNotRun() {
    final RecordingStream running = fixture.startRun("running");
    RecordingStream waiting = fixture.queueRun("waiting");
    assertEquals(
        Outcome.NOT_RUN, waiting.deliver(new Cancel("waiting")).next(Failed.class).outcome());
    Failed ran = running.deliver(new Cancel("running")).next(Failed.class);
    assertEquals(ErrorKind.CANCELLED, ran.kind());
    assertEquals(Outcome.UNKNOWN, ran.outcome());
    await(() -> fixture.role.admission().orElseThrow().active() == 0);
    assertEquals(1, fixture.engine.generations().size());
  }

  @Test
  void runWithoutStreamIsCancelledAfterTheRetentionTime() {
    RecordingStream entry = fixture.startRun("r");
    entry.disconnect();
    fixture.clock.advance(RunRegistry.RETENTION_MS - 1);
    fixture.role.expireRuns();
    assertEquals(0, fixture.engine.resumesAndCancels().get(1));
    await(
        () -> {
          fixture.clock.advance(1);
          fixture.role.expireRuns();
          return fixture.engine.resumesAndCancels().get(1) > 0;
        });
    await(() -> fixture.role.admission().orElseThrow().active() == 0);
  }

  private static long crc(String text) {
    return Digests.crc32c(text.getBytes(StandardCharsets.UTF_8));
  }
}

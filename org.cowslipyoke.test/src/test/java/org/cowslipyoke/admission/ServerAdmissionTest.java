package org.cowslipyoke.admission;

import static org.cowslipyoke.admission.AdmissionFixture.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cowslipyoke.admission.Ticket.Dropped;
import org.cowslipyoke.config.Configuration.DomainState;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.platform.ModelEngine.State;
import org.junit.jupiter.api.Test;

/** Guards the refusals of a server: each fault below must stop new work and nothing else. */
class ServerAdmissionTest {

  private final AdmissionFixture fix =
      new AdmissionFixture().domain(DomainState.IN).engine("a", "v1");
  private final ServerAdmission admission = fix.admission;

  @Test
  void i4_submitsNoMoreThanTheAllowance() {
    fix.enqueue("1");
    fix.enqueue("2");
    assertTrue(admission.activateNext().isPresent());
    assertTrue(admission.activateNext().isEmpty(), "a cold server runs one");
  }

  @Test
  void i4_reservationsOfManyEntriesCount() {
    int granted = 0;
    while (fix.probe(request("r" + granted, "d" + granted)).isRight()) {
      granted++;
    }
    assertEquals(1 + ServerAdmission.COLD_QUEUE_FACTOR, granted);
    assertEquals(ErrorKind.SERVER_COLD, fix.probe(request("x", "x")).getLeft().kind());
    fix.clock.advance(Reservations.TTL_MS);
    assertTrue(fix.probe(request("x", "x")).isRight(), "expired reservations free capacity");
  }

  @Test
  void i4_returnsWaitingRunsWhenTheServerTurnsCold() {
    fix.warm();
    final Ticket running = fix.run("running");
    Ticket waiting = fix.enqueue("waiting");
    AdmissionRequest reserved = request("reserved", "r");
    final long id = fix.probe(reserved).get().reservationId();
    admission.onLoad(AdmissionFixture.load("b", true));
    assertTrue(admission.activateNext().isEmpty(), "nothing is submitted before the sweep");
    List<Dropped> dropped = admission.sweep();
    assertEquals(List.of(waiting), dropped.stream().map(Dropped::ticket).toList());
    assertEquals(ErrorKind.SERVER_COLD, dropped.get(0).reason().kind());
    assertEquals(Outcome.NOT_RUN, dropped.get(0).reason().outcome());
    assertEquals(ErrorKind.RESERVATION_EXPIRED, admission.start(id, reserved).getLeft().kind());
    assertEquals(1, admission.active(), "running work goes on");
    admission.onFinished(running, true);
    assertEquals(1, admission.allowance(), "a run from before earns nothing");
  }

  @Test
  void i5_domainOutStopsProbesStartsAndTheQueue() {
    assertStops(() -> fix.domain(DomainState.OUT), ErrorKind.DOMAIN_OUT);
  }

  @Test
  void i9_leavingStopsProbesStartsAndTheQueue() {
    assertStops(() -> fix.standing.setLeaving(true), ErrorKind.SERVER_LEAVING);
  }

  private void assertStops(Runnable fault, ErrorKind kind) {
    final Ticket waiting = fix.enqueue("waiting");
    AdmissionRequest reserved = request("reserved", "r");
    final long id = fix.probe(reserved).get().reservationId();
    fault.run();
    assertEquals(kind, fix.probe(request("new", "n")).getLeft().kind());
    assertEquals(kind, admission.start(id, reserved).getLeft().kind());
    assertTrue(admission.activateNext().isEmpty());
    Dropped dropped = admission.sweep().get(0);
    assertEquals(waiting, dropped.ticket());
    assertEquals(kind, dropped.reason().kind());
  }

  @Test
  void i10_shutdownRefusesNewWorkAndFinishesWaitingWork() {
    final Ticket waiting = fix.enqueue("waiting");
    fix.standing.stop();
    assertEquals(ErrorKind.SHUTTING_DOWN, fix.probe(request("n", "n")).getLeft().kind());
    assertTrue(admission.sweep().isEmpty());
    assertEquals(waiting, admission.activateNext().orElseThrow());
  }

  @Test
  void pausedProcessAdmitsNothing() {
    fix.enqueue("waiting");
    fix.clock.advance(PauseDetector.MAX_GAP_MS + 1);
    assertEquals(ErrorKind.NOT_READY, fix.probe(request("n", "n")).getLeft().kind());
    assertTrue(admission.activateNext().isEmpty());
    fix.pauses.confirmRecovered(fix.pauses.pauseCount());
    assertTrue(admission.activateNext().isPresent());
  }

  @Test
  void i3_swapBetweenReservationAndStartIsRefused() {
    AdmissionRequest r = request("1", "d");
    long id = fix.probe(r).get().reservationId();
    fix.engine("a", "v2");
    assertEquals(ErrorKind.WRONG_VERSION, admission.start(id, r).getLeft().kind());
  }

  @Test
  void i3_swapWhileWaitingReturnsTheRun() {
    fix.enqueue("waiting");
    fix.engine("a", "v2");
    assertEquals(ErrorKind.WRONG_VERSION, admission.sweep().get(0).reason().kind());
  }

  @Test
  void loadingEngineTakesNothing() {
    admission.onState(new State("a", "m", "v1", List.of(), "both", true, 0));
    assertEquals(ErrorKind.WRONG_VERSION, fix.probe(request("1", "d")).getLeft().kind());
    admission.onUnreachable();
    assertEquals(ErrorKind.NO_SERVER, fix.probe(request("1", "d")).getLeft().kind());
  }

  @Test
  void i2_reservationIsValidForItsRequestOnly() {
    long id = fix.probe(request("1", "d")).get().reservationId();
    AdmissionRequest other = request("1", "other");
    assertEquals(ErrorKind.RESERVATION_EXPIRED, admission.start(id, other).getLeft().kind());
    assertTrue(admission.start(id, request("1", "d")).isRight());
    assertEquals(
        ErrorKind.RESERVATION_EXPIRED, admission.start(id, request("1", "d")).getLeft().kind());
  }

  @Test
  void secondSuspectIsRefusedUntilTheFirstHasEnded() {
    fix.warm();
    suspect("s1");
    suspect("s2");
    AdmissionRequest first = request("1", "s1");
    admission.start(fix.probe(first).get().reservationId(), first).get();
    assertEquals(ErrorKind.SUSPECT_BUSY, fix.probe(request("2", "s2")).getLeft().kind());
    assertTrue(fix.probe(request("3", "clear")).isRight());
    Ticket running = admission.activateNext().orElseThrow();
    assertEquals(ErrorKind.SUSPECT_BUSY, fix.probe(request("2", "s2")).getLeft().kind());
    admission.onFinished(running, true);
    assertTrue(fix.probe(request("2", "s2")).isRight());
  }

  @Test
  void secondCrashSeenHereIsQuarantinedWithoutTheTable() {
    admission.onCrash(List.of("d"));
    fix.engine("b", "v1");
    assertTrue(fix.probe(request("1", "d")).isRight(), "after one crash it may run alone");
    admission.onCrash(List.of("d"));
    fix.engine("c", "v1");
    assertEquals(ErrorKind.QUARANTINED, fix.probe(request("2", "d")).getLeft().kind());
  }

  @Test
  void refusesEarlyWhatCannotMeetItsDeadline() {
    fix.run("running");
    assertEquals(ErrorKind.DEADLINE_TOO_SHORT, fix.probe(request("1", "d", 500)).getLeft().kind());
    assertTrue(fix.probe(request("1", "d", 2_000)).isRight());
  }

  @Test
  void deadlineInTheQueueReturnsTheRun() {
    fix.run("running");
    fix.enqueue("waiting");
    fix.clock.advance(60_000);
    fix.pauses.confirmRecovered(fix.pauses.pauseCount());
    assertEquals(ErrorKind.DEADLINE_TOO_SHORT, admission.sweep().get(0).reason().kind());
  }

  private void suspect(String digest) {
    fix.suspects.offer(fix.suspects.current().withCrash(digest, fix.clock.wallMs()));
  }
}

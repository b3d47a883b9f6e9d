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

/**
 * Checks the refusals of a server: each fault must stop new work and nothing else. Test names that
 * begin with i2 to i10 name the design rule that is checked.
 */
class ServerAdmissionTest {

  private final AdmissionFixture fixture =
      new AdmissionFixture().domain(DomainState.IN).engine("a", "v1");
  private final ServerAdmission admission = fixture.admission;

  @Test
  void i4_submitsNoMoreThanTheAllowance() {
    fixture.enqueue("1");
    fixture.enqueue("2");
    assertTrue(admission.activateNext().isPresent());
    assertTrue(admission.activateNext().isEmpty(), "a cold server runs one");
  }

  @Test
  void i4_reservationsOfManyEntriesCount() {
    int granted = 0;
    while (fixture.probe(request("r" + granted, "d" + granted)).isRight()) {
      granted++;
    }
    assertEquals(1 + ServerAdmission.COLD_QUEUE_FACTOR, granted);
    assertEquals(ErrorKind.SERVER_COLD, fixture.probe(request("x", "x")).getLeft().kind());
    fixture.clock.advance(Reservations.TTL_MS);
    assertTrue(fixture.probe(request("x", "x")).isRight(), "expired reservations free capacity");
  }

  @Test
  void i4_returnsWaitingRunsWhenTheServerTurnsCold() {
    fixture.warm();
    final Ticket running = fixture.run("running");
    Ticket waiting = fixture.enqueue("waiting");
    AdmissionRequest reserved = request("reserved", "r");
    final long id = fixture.probe(reserved).get().reservationId();
    admission.onLoad(AdmissionFixture.load("b", true));
    assertTrue(admission.activateNext().isEmpty(), "nothing is submitted before the sweep");
    List<Dropped> dropped = admission.sweep();
    assertEquals(List.of(waiting), dropped.stream().map(Dropped::ticket).toList());
    assertEquals(ErrorKind.SERVER_COLD, dropped.get(0).reason().kind());
    assertEquals(Outcome.NOT_RUN, dropped.get(0).reason().outcome());
    assertEquals(ErrorKind.RESERVATION_EXPIRED, admission.start(id, reserved).getLeft().kind());
    assertEquals(1, admission.active(), "running work goes on");
    admission.onFinished(running, true);
    assertEquals(1, admission.allowance(), "a run of an earlier period is not counted");
  }

  @Test
  void i5_domainOutStopsProbesStartsAndTheQueue() {
    assertStops(() -> fixture.domain(DomainState.OUT), ErrorKind.DOMAIN_OUT);
  }

  @Test
  void i9_leavingStopsProbesStartsAndTheQueue() {
    assertStops(() -> fixture.standing.setLeaving(true), ErrorKind.SERVER_LEAVING);
  }

  private void assertStops(Runnable fault, ErrorKind kind) {
    final Ticket waiting = fixture.enqueue("waiting");
    AdmissionRequest reserved = request("reserved", "r");
    final long id = fixture.probe(reserved).get().reservationId();
    fault.run();
    assertEquals(kind, fixture.probe(request("new", "n")).getLeft().kind());
    assertEquals(kind, admission.start(id, reserved).getLeft().kind());
    assertTrue(admission.activateNext().isEmpty());
    Dropped dropped = admission.sweep().get(0);
    assertEquals(waiting, dropped.ticket());
    assertEquals(kind, dropped.reason().kind());
  }

  @Test
  void i10_shutdownRefusesNewWorkAndFinishesWaitingWork() {
    final Ticket waiting = fixture.enqueue("waiting");
    fixture.standing.stop();
    assertEquals(ErrorKind.SHUTTING_DOWN, fixture.probe(request("n", "n")).getLeft().kind());
    assertTrue(admission.sweep().isEmpty());
    assertEquals(waiting, admission.activateNext().orElseThrow());
  }

  @Test
  void pausedProcessAdmitsNothing() {
    fixture.enqueue("waiting");
    fixture.clock.advance(PauseDetector.MAX_GAP_MS + 1);
    assertEquals(ErrorKind.NOT_READY, fixture.probe(request("n", "n")).getLeft().kind());
    assertTrue(admission.activateNext().isEmpty());
    fixture.pauses.confirmRecovered(fixture.pauses.pauseCount());
    assertTrue(admission.activateNext().isPresent());
  }

  @Test
  void i3_swapBetweenReservationAndStartIsRefused() {
    AdmissionRequest r = request("1", "d");
    long id = fixture.probe(r).get().reservationId();
    fixture.engine("a", "v2");
    assertEquals(ErrorKind.WRONG_VERSION, admission.start(id, r).getLeft().kind());
  }

  @Test
  void i3_swapWhileWaitingReturnsTheRun() {
    fixture.enqueue("waiting");
    fixture.engine("a", "v2");
    assertEquals(ErrorKind.WRONG_VERSION, admission.sweep().get(0).reason().kind());
  }

  @Test
  void loadingEngineTakesNothing() {
    admission.onState(new State("a", "m", "v1", List.of(), "both", true, 0));
    assertEquals(ErrorKind.WRONG_VERSION, fixture.probe(request("1", "d")).getLeft().kind());
    admission.onUnreachable();
    assertEquals(ErrorKind.NO_SERVER, fixture.probe(request("1", "d")).getLeft().kind());
  }

  @Test
  void i2_reservationIsValidForItsRequestOnly() {
    long id = fixture.probe(request("1", "d")).get().reservationId();
    AdmissionRequest other = request("1", "other");
    assertEquals(ErrorKind.RESERVATION_EXPIRED, admission.start(id, other).getLeft().kind());
    assertTrue(admission.start(id, request("1", "d")).isRight());
    assertEquals(
        ErrorKind.RESERVATION_EXPIRED, admission.start(id, request("1", "d")).getLeft().kind());
  }

  @Test
  void secondSuspectIsRefusedUntilTheFirstHasEnded() {
    fixture.warm();
    suspect("s1");
    suspect("s2");
    AdmissionRequest first = request("1", "s1");
    admission.start(fixture.probe(first).get().reservationId(), first).get();
    assertEquals(ErrorKind.SUSPECT_BUSY, fixture.probe(request("2", "s2")).getLeft().kind());
    assertTrue(fixture.probe(request("3", "clear")).isRight());
    Ticket running = admission.activateNext().orElseThrow();
    assertEquals(ErrorKind.SUSPECT_BUSY, fixture.probe(request("2", "s2")).getLeft().kind());
    admission.onFinished(running, true);
    assertTrue(fixture.probe(request("2", "s2")).isRight());
  }

  @Test
  void secondCrashSeenHereIsQuarantinedWithoutTheTable() {
    admission.onCrash(List.of("d"));
    fixture.engine("b", "v1");
    assertTrue(fixture.probe(request("1", "d")).isRight(), "after one crash it may run alone");
    admission.onCrash(List.of("d"));
    fixture.engine("c", "v1");
    assertEquals(ErrorKind.QUARANTINED, fixture.probe(request("2", "d")).getLeft().kind());
  }

  @Test
  void refusesProbeThatCannotMeetItsDeadline() {
    fixture.run("running");
    assertEquals(
        ErrorKind.DEADLINE_TOO_SHORT, fixture.probe(request("1", "d", 500)).getLeft().kind());
    assertTrue(fixture.probe(request("1", "d", 2_000)).isRight());
  }

  @Test
  void runIsReturnedWhenItsDeadlinePassesInTheQueue() {
    fixture.run("running");
    fixture.enqueue("waiting");
    fixture.clock.advance(60_000);
    fixture.pauses.confirmRecovered(fixture.pauses.pauseCount());
    assertEquals(ErrorKind.DEADLINE_TOO_SHORT, admission.sweep().get(0).reason().kind());
  }

  private void suspect(String digest) {
    fixture.suspects.offer(fixture.suspects.current().withCrash(digest, fixture.clock.wallMs()));
  }
}

package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.junit.jupiter.api.Test;

class PeerLoadsTest {

  private final ManualClock clock = new ManualClock();
  private final PeerLoads peers = new PeerLoads(clock);
  private final BackendServer s1 = RelayFixture.server("s1", 1);
  private final BackendServer s2 = RelayFixture.server("s2", 1);

  private void report(String vm, long startedMs, long sequence, Load atS1) {
    peers.accept(new Report(vm, startedMs, sequence, Map.of(s1.incarnation(), atS1)));
  }

  @Test
  void reportsOfAllEntriesAddUp() {
    report("e1", 1, 1, new Load(2, 300, 4_000));
    report("e2", 1, 1, new Load(1, 50, 600));
    assertEquals(new Load(3, 350, 4_600), peers.loadAt(s1));
    assertEquals(Load.NONE, peers.loadAt(s2));
  }

  /** Guards against applying a datagram that arrives after a newer one. */
  @Test
  void outdatedReportIsIgnored() {
    report("e1", 1, 7, new Load(1, 1, 1));
    report("e1", 1, 6, new Load(9, 9, 9));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
  }

  /**
   * Guards against ignoring the reports of a restarted entry, which are numbered from the
   * beginning.
   */
  @Test
  void reportsOfRestartedEntryAreAccepted() {
    report("e1", 1, 700, new Load(9, 9, 9));
    report("e1", 2, 1, new Load(1, 1, 1));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
    report("e1", 1, 701, new Load(9, 9, 9));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
  }

  /** Guards against permanently ignoring an entry that restarted after its clock was set back. */
  @Test
  void reportWithEarlierStartIsAcceptedAfterTheLastOneExpired() {
    report("e1", 9, 700, new Load(9, 9, 9));
    clock.advance(PeerLoads.MAX_AGE_MS + 1);
    report("e1", 4, 1, new Load(1, 1, 1));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
  }

  /** Guards against counting the load of an entry that has ended or is unreachable. */
  @Test
  void oldReportsAreNotUsed() {
    report("e1", 1, 1, new Load(1, 1, 1));
    clock.advance(PeerLoads.MAX_AGE_MS + 1);
    assertEquals(Load.NONE, peers.loadAt(s1));
    assertEquals(0, peers.freshCount());
  }

  /** An entry that does not report is assumed to have as much load as this one, spread evenly. */
  @Test
  void loadOfEntriesWithoutReportIsEstimated() {
    ServerLoads own = new ServerLoads(clock);
    own.of(s1).recordStart(RelayFixture.work(1_000, 8_000));
    report("e1", 1, 1, new Load(1, 10, 100));
    FleetLoad all = FleetLoad.of(own, peers, List.of(s1, s2), 3);
    assertEquals(new Load(1 + 1 + 1, 1_000 + 10 + 500, 8_000 + 100 + 4_000), all.loadAt(s1));
    assertEquals(new Load(1, 500, 4_000), all.loadAt(s2));
    FleetLoad known = FleetLoad.of(own, peers, List.of(s1, s2), 2);
    assertEquals(Load.NONE, known.loadAt(s2));
  }

  private void partial(String vm, long sequence, Map<String, Load> loads) {
    peers.accept(new Report(vm, 1, sequence, loads, true));
  }

  /** Guards against losing the loads that a partial report does not contain. */
  @Test
  void partialReportReplacesOnlyItsLoads() {
    report("e1", 1, 1, new Load(2, 300, 4_000));
    report("e2", 1, 1, new Load(1, 50, 600));
    partial("e1", 2, Map.of(s2.incarnation(), new Load(1, 7, 70)));
    assertEquals(new Load(3, 350, 4_600), peers.loadAt(s1));
    assertEquals(new Load(1, 7, 70), peers.loadAt(s2));
    partial("e1", 3, Map.of(s1.incarnation(), Load.NONE));
    assertEquals(new Load(1, 50, 600), peers.loadAt(s1));
    report("e1", 1, 4, new Load(1, 1, 1));
    assertEquals(new Load(2, 51, 601), peers.loadAt(s1));
    assertEquals(Load.NONE, peers.loadAt(s2));
  }

  /** Guards against adding a partial report to what an earlier run of the entry reported. */
  @Test
  void partialReportOfRestartedEntryStartsAnew() {
    report("e1", 1, 9, new Load(2, 300, 4_000));
    peers.accept(new Report("e1", 2, 1, Map.of(s2.incarnation(), new Load(1, 7, 70)), true));
    assertEquals(Load.NONE, peers.loadAt(s1));
    assertEquals(new Load(1, 7, 70), peers.loadAt(s2));
  }
}

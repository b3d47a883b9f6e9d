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

  /** Guards against a datagram that arrives after a newer one. */
  @Test
  void overtakenReportIsIgnored() {
    report("e1", 1, 7, new Load(1, 1, 1));
    report("e1", 1, 6, new Load(9, 9, 9));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
  }

  /** Guards against ignoring an entry that restarted and counts from the beginning. */
  @Test
  void restartedEntryCountsAnew() {
    report("e1", 1, 700, new Load(9, 9, 9));
    report("e1", 2, 1, new Load(1, 1, 1));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
    report("e1", 1, 701, new Load(9, 9, 9));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
  }

  /** Guards against ignoring an entry for ever that restarts after its clock was set back. */
  @Test
  void earlierStartIsTakenOnceTheLastReportIsOld() {
    report("e1", 9, 700, new Load(9, 9, 9));
    clock.advance(PeerLoads.MAX_AGE_MS + 1);
    report("e1", 4, 1, new Load(1, 1, 1));
    assertEquals(new Load(1, 1, 1), peers.loadAt(s1));
  }

  /** Guards against work of an entry that ended, or that is cut off, being counted for ever. */
  @Test
  void oldReportsAreNotUsed() {
    report("e1", 1, 1, new Load(1, 1, 1));
    clock.advance(PeerLoads.MAX_AGE_MS + 1);
    assertEquals(Load.NONE, peers.loadAt(s1));
    assertEquals(0, peers.fresh());
  }

  /** An entry that does not report is taken to have as much work as this one, spread evenly. */
  @Test
  void silentEntriesAreEstimated() {
    ServerLoads own = new ServerLoads(clock);
    own.of(s1).begin(RelayFixture.work(1_000, 8_000));
    report("e1", 1, 1, new Load(1, 10, 100));
    FleetLoad all = FleetLoad.of(own, peers, List.of(s1, s2), 3);
    assertEquals(new Load(1 + 1 + 1, 1_000 + 10 + 500, 8_000 + 100 + 4_000), all.at(s1));
    assertEquals(new Load(1, 500, 4_000), all.at(s2));
    FleetLoad known = FleetLoad.of(own, peers, List.of(s1, s2), 2);
    assertEquals(Load.NONE, known.at(s2));
  }
}

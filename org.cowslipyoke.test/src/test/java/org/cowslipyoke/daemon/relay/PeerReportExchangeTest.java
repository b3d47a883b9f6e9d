package org.cowslipyoke.daemon.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cowslipyoke.refresh.TableConfirmation;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PromptWork;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.util.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerReportExchangeTest {

  private static final long DEADLINE_MS = 10_000;
  private static final BackendServer SERVER =
      new BackendServer("s1", 1, "g", "127.0.0.1", 80, "d1", false, 0, 8, Map.of());

  private final Clock clock = Clock.system();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final ServerLoads loads1 = new ServerLoads(clock);
  private final PeerLoads peers1 = new PeerLoads(clock);
  private final PeerLoads peers2 = new PeerLoads(clock);
  private final CrashSuspects suspects1 = new CrashSuspects(clock);
  private final CrashSuspects suspects2 = new CrashSuspects(clock);
  private final PeerReportExchange e1 = exchange("e1", loads1, peers1, suspects1);
  private final PeerReportExchange e2 = exchange("e2", new ServerLoads(clock), peers2, suspects2);

  private PeerReportExchange exchange(
      String vm, ServerLoads loads, PeerLoads peers, CrashSuspects suspects) {
    return new PeerReportExchange(
        clock,
        vm,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        loads,
        peers,
        suspects);
  }

  @AfterEach
  void close() {
    e1.close();
    e2.close();
    timers.shutdownNow();
  }

  private void awaitLoad(PeerLoads peers, Load wanted) throws InterruptedException {
    long endMs = clock.nowMs() + DEADLINE_MS;
    while (!peers.loadAt(SERVER).equals(wanted) && clock.nowMs() < endMs) {
      Thread.sleep(5);
    }
    assertEquals(wanted, peers.loadAt(SERVER));
  }

  @Test
  void entriesReceiveEachOthersLoads() throws Exception {
    e1.setPeers(List.of(e2.address()));
    e2.setPeers(List.of(e1.address()));
    e1.start(timers);
    e2.start(timers);
    PromptWork work = new PromptWork(100, 900, List.of());
    loads1.of(SERVER).recordStart(work);
    awaitLoad(peers2, new Load(1, 100, 900));
    loads1.of(SERVER).recordPrefillEnd(work);
    loads1.of(SERVER).recordEnd(work);
    awaitLoad(peers2, Load.NONE);
    assertEquals(Load.NONE, peers1.loadAt(SERVER));
  }

  /** Guards against running a request that crashes servers from an entry that saw no crash. */
  @Test
  void entriesReceiveEachOthersSuspects() throws Exception {
    e1.setPeers(List.of(e2.address()));
    e2.setPeers(List.of(e1.address()));
    e1.start(timers);
    e2.start(timers);
    for (int i = 0; i < CrashSuspects.MIN_CRASHES; i++) {
      suspects1.recordCrash(7, "s" + i, clock.nowMs());
    }
    long endMs = clock.nowMs() + DEADLINE_MS;
    while (!suspects2.verdict(7).isHeld() && clock.nowMs() < endMs) {
      Thread.sleep(5);
    }
    assertTrue(suspects2.verdict(7).isHeld());
  }

  /** Guards against a receiver that stops after malformed datagrams. */
  @Test
  void malformedDatagramsDoNotStopTheReceiver() throws Exception {
    e1.setPeers(List.of(e2.address()));
    e2.setPeers(List.of(e1.address()));
    e2.start(timers);
    try (DatagramSocket other = new DatagramSocket()) {
      other.send(new DatagramPacket(new byte[] {1, 2, 3}, 3, e2.address()));
      other.send(new DatagramPacket(new byte[0], 0, e2.address()));
    }
    loads1.of(SERVER).recordStart(new PromptWork(100, 900, List.of()));
    e1.send();
    awaitLoad(peers2, new Load(1, 100, 900));
  }

  /** Guards against a listener whose failure ends the reception of all reports. */
  @Test
  void failingListenerDoesNotStopTheReceiver() throws Exception {
    CountDownLatch called = new CountDownLatch(1);
    e1.setPeers(List.of(e2.address()));
    e2.setPeers(List.of(e1.address()));
    e2.setConfirmationListener(
        c -> {
          called.countDown();
          throw new IllegalStateException("a failing listener");
        });
    e2.start(timers);
    e1.confirm(new TableConfirmation("t", 1, 2), List.of(e2.address()));
    assertTrue(called.await(DEADLINE_MS, TimeUnit.MILLISECONDS));
    loads1.of(SERVER).recordStart(new PromptWork(100, 900, List.of()));
    e1.send();
    awaitLoad(peers2, new Load(1, 100, 900));
  }
}

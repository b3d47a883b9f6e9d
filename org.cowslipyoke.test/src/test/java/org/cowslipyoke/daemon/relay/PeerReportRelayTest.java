package org.cowslipyoke.daemon.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.refresh.ReportFanout.Peer;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PromptWork;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.util.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** One entry in a failure domain and two in another, over loopback. */
class PeerReportRelayTest {

  private static final long DEADLINE_MS = 10_000;
  private static final BackendServer SERVER =
      new BackendServer("s1", 1, "g", "127.0.0.1", 80, "d1", false, 0, 8, Map.of());

  private final Clock clock = Clock.system();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final ServerLoads loads = new ServerLoads(clock);
  private final Map<String, PeerLoads> heard =
      Map.of("a", new PeerLoads(clock), "b", new PeerLoads(clock), "c", new PeerLoads(clock));
  private final PeerReportExchange sender = exchange("a", loads);
  private final PeerReportExchange first = exchange("b", new ServerLoads(clock));
  private final PeerReportExchange second = exchange("c", new ServerLoads(clock));

  private PeerReportExchange exchange(String vm, ServerLoads own) {
    return new PeerReportExchange(
        clock,
        vm,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        own,
        heard(vm),
        new CrashSuspects(clock));
  }

  private PeerLoads heard(String vm) {
    return heard.getOrDefault(vm, new PeerLoads(clock));
  }

  @AfterEach
  void close() {
    sender.close();
    first.close();
    second.close();
    timers.shutdownNow();
  }

  private void start() {
    Peer pa = new Peer("a", "d1", sender.address());
    Peer pb = new Peer("b", "d2", first.address());
    Peer pc = new Peer("c", "d2", second.address());
    sender.setMembers("d1", List.of(pb, pc));
    first.setMembers("d2", List.of(pa, pc));
    second.setMembers("d2", List.of(pa, pb));
    sender.start(timers);
    first.start(timers);
    second.start(timers);
  }

  private void await(BooleanSupplier condition, String what) throws InterruptedException {
    long endMs = clock.nowMs() + DEADLINE_MS;
    while (!condition.getAsBoolean() && clock.nowMs() < endMs) {
      Thread.sleep(5);
    }
    assertTrue(condition.getAsBoolean(), what);
  }

  private static double sent(PeerReportExchange e, String kind, String domain) {
    SimpleMeterRegistry meters = new SimpleMeterRegistry();
    e.traffic().register(meters);
    return meters
        .get("cowslipyoke_peer_sent_datagrams")
        .tags("kind", kind, "domain", domain)
        .functionCounter()
        .count();
  }

  private double passedOn() {
    return sent(first, "passed_on", "own") + sent(second, "passed_on", "own");
  }

  /** Guards against relayed reports that are not passed on or not confirmed. */
  @Test
  void reportIsPassedOnWithinTheFailureDomain() throws Exception {
    start();
    loads.of(SERVER).recordStart(new PromptWork(100, 900, List.of()));
    Load wanted = new Load(1, 100, 900);
    await(() -> heard("b").loadAt(SERVER).equals(wanted), "b");
    await(() -> heard("c").loadAt(SERVER).equals(wanted), "c");
    await(() -> passedOn() >= 3, "passed on");
    await(
        () -> sent(first, "confirmations", "other") + sent(second, "confirmations", "other") >= 3,
        "confirmed");
  }

  /** Guards against entries that learn nothing after the entry that relayed has ended. */
  @Test
  void reportsGoOnAfterTheRelayHasEnded() throws Exception {
    start();
    loads.of(SERVER).recordStart(new PromptWork(100, 900, List.of()));
    await(() -> passedOn() >= 3, "passed on");
    boolean relayIsFirst = sent(first, "passed_on", "own") > 0;
    (relayIsFirst ? first : second).close();
    loads.of(SERVER).recordStart(new PromptWork(100, 900, List.of()));
    String left = relayIsFirst ? "c" : "b";
    await(() -> heard(left).loadAt(SERVER).equals(new Load(2, 200, 1_800)), left);
  }
}

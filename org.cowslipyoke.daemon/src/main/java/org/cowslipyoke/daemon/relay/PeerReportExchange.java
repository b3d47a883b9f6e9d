package org.cowslipyoke.daemon.relay;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.SuspectReport;
import org.cowslipyoke.transport.LoadReportCodec;
import org.cowslipyoke.transport.SuspectReportCodec;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Tells the other entries what work this one has at the servers and which requests are suspected to
 * crash servers, and takes their reports.
 *
 * <p>Datagrams, because only the newest report of loads counts: one that is lost is replaced by the
 * next, and none waits behind another on a connection that went silent. Suspects are told several
 * times.
 */
public final class PeerReportExchange {

  /** Shortest interval of reports, in milliseconds; a prompt is read in 120 ms. */
  static final long MIN_INTERVAL_MS = 50;

  /** Datagrams that an entry sends in a second at the most, so that many entries report rarer. */
  static final int MAX_SENT_PER_SECOND = 100;

  private static final Logger LOG = LogManager.getLogger(PeerReportExchange.class);

  private final String vm;
  private final long startedMs;
  private final ServerLoads loads;
  private final PeerLoads received;
  private final CrashSuspects suspects;
  private final DatagramSocket socket;
  private volatile List<InetSocketAddress> peers = List.of();
  private volatile Set<InetAddress> known = Set.of();
  private long sequence;
  private boolean sendFailed;

  /**
   * Opens the socket.
   *
   * @throws IllegalStateException if the address can't be used
   */
  public PeerReportExchange(
      Clock clock,
      String vm,
      InetSocketAddress own,
      ServerLoads loads,
      PeerLoads received,
      CrashSuspects suspects) {
    this.vm = vm;
    this.startedMs = clock.wallMs();
    this.loads = loads;
    this.received = received;
    this.suspects = suspects;
    try {
      this.socket = new DatagramSocket(own);
    } catch (IOException e) {
      throw new IllegalStateException("the address for load reports can't be used: " + own, e);
    }
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
  }

  /** Replaces the entries that get reports and whose reports are taken. */
  public void setPeers(List<InetSocketAddress> addresses) {
    known =
        addresses.stream()
            .map(InetSocketAddress::getAddress)
            .collect(Collectors.toUnmodifiableSet());
    peers = List.copyOf(addresses);
  }

  /** Starts to send and to receive. */
  public void start(ScheduledExecutorService timers) {
    Thread t = new Thread(this::receive, "load-reports");
    t.setDaemon(true);
    t.start();
    schedule(timers);
  }

  private void schedule(ScheduledExecutorService timers) {
    if (!timers.isShutdown()) {
      var unused =
          timers.schedule(() -> sendAndSchedule(timers), intervalMs(), TimeUnit.MILLISECONDS);
    }
  }

  private long intervalMs() {
    return Math.max(MIN_INTERVAL_MS, 1_000L * peers.size() / MAX_SENT_PER_SECOND);
  }

  private void sendAndSchedule(ScheduledExecutorService timers) {
    try {
      send();
    } catch (RuntimeException e) {
      LOG.error("load report failed", e);
    } finally {
      schedule(timers);
    }
  }

  /** Sends a report of loads, and one of suspects if there is one, to all peers. */
  void send() {
    Optional<SuspectReport> suspected = suspects.nextReport();
    List<InetSocketAddress> to = peers;
    if (to.isEmpty()) {
      return;
    }
    sequence++;
    String problem =
        send(LoadReportCodec.encode(new Report(vm, startedMs, sequence, loads.snapshot())), to);
    if (suspected.isPresent()) {
      problem += send(SuspectReportCodec.encode(suspected.get()), to);
    }
    if (problem.isEmpty() == sendFailed) {
      sendFailed = !sendFailed;
      LOG.info("load reports {}: reason={}", sendFailed ? "lost" : "regained", problem);
    }
  }

  /** Returns the last problem, empty if there was none. */
  private String send(byte[] bytes, List<InetSocketAddress> to) {
    String problem = "";
    for (InetSocketAddress peer : to) {
      try {
        socket.send(new DatagramPacket(bytes, bytes.length, peer));
      } catch (IOException e) {
        problem = peer + " " + e.getMessage();
      }
    }
    return problem;
  }

  private void receive() {
    byte[] buffer = new byte[LoadReportCodec.MAX_BYTES];
    while (!socket.isClosed()) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        if (known.contains(packet.getAddress())) {
          take(buffer, packet.getLength());
        }
      } catch (MalformedResponseException e) {
        LOG.warn("report ignored: reason={}", e.getMessage());
      } catch (IOException e) {
        if (!socket.isClosed()) {
          LOG.warn("report not received: reason={}", e.toString());
        }
      }
    }
  }

  private void take(byte[] bytes, int length) throws MalformedResponseException {
    if (SuspectReportCodec.isReport(bytes, length)) {
      suspects.accept(SuspectReportCodec.decode(bytes, length));
    } else {
      received.accept(LoadReportCodec.decode(bytes, length));
    }
  }

  /** Stops to receive. */
  public void close() {
    socket.close();
  }
}

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
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.refresh.TableConfirmation;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.suspect.SuspectReport;
import org.cowslipyoke.transport.LoadReportCodec;
import org.cowslipyoke.transport.SuspectReportCodec;
import org.cowslipyoke.transport.TableConfirmationCodec;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Exchanges reports with the other entries: the load that each entry puts on the servers, the
 * requests suspected to crash servers, and confirmations of tables in the platform's store.
 *
 * <p>Uses datagrams, because only the newest load report matters: a lost one is replaced by the
 * next, and none is delayed by an unresponsive connection. Suspects are reported repeatedly.
 */
public final class PeerReportExchange {

  /** Minimum interval of reports, in milliseconds; prefill of a prompt takes 120 ms. */
  static final long MIN_INTERVAL_MS = 50;

  /**
   * Maximum number of datagrams that an entry sends per second; with many entries, each reports
   * less often.
   */
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
  private volatile Consumer<TableConfirmation> onConfirmation = c -> {};
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

  /** Replaces the entries to which reports are sent and from which reports are accepted. */
  public void setPeers(List<InetSocketAddress> addresses) {
    known =
        addresses.stream()
            .map(InetSocketAddress::getAddress)
            .collect(Collectors.toUnmodifiableSet());
    peers = List.copyOf(addresses);
  }

  /** Sets the receiver of other entries' confirmations; must be called before {@link #start}. */
  public void setConfirmationListener(Consumer<TableConfirmation> listener) {
    onConfirmation = listener;
  }

  /** Sends a confirmation to other entries at once, because their reads depend on it. */
  public void confirm(TableConfirmation c, List<InetSocketAddress> to) {
    byte[] bytes = TableConfirmationCodec.encode(new TableConfirmationCodec.Message(vm, c));
    String problem = send(bytes, to);
    if (!problem.isEmpty()) {
      LOG.debug("confirmation not sent: table={} reason={}", c.table(), problem);
    }
  }

  /** Starts sending and receiving. */
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

  /** Returns the last error, empty if there was none. */
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
    } else if (TableConfirmationCodec.isConfirmation(bytes, length)) {
      onConfirmation.accept(TableConfirmationCodec.decode(bytes, length).confirmation());
    } else {
      received.accept(LoadReportCodec.decode(bytes, length));
    }
  }

  /** Closes the socket, which ends receiving. */
  public void close() {
    socket.close();
  }
}

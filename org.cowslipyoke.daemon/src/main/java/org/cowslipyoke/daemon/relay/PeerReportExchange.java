package org.cowslipyoke.daemon.relay;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.daemon.relay.PeerTraffic.Kind;
import org.cowslipyoke.refresh.ReportFanout;
import org.cowslipyoke.refresh.ReportFanout.Peer;
import org.cowslipyoke.refresh.SendRateLimit;
import org.cowslipyoke.refresh.TableConfirmation;
import org.cowslipyoke.relay.CacheEventBatch;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.PeerLoads.Report;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.transport.CacheEventCodec;
import org.cowslipyoke.transport.LoadReportCodec;
import org.cowslipyoke.transport.PartReportCodec;
import org.cowslipyoke.transport.RelayedReportCodec;
import org.cowslipyoke.transport.SuspectReportCodec;
import org.cowslipyoke.transport.TableConfirmationCodec;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.MalformedResponseException;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges reports with the other entries: the load that each entry puts on the servers, the
 * requests suspected to crash servers, confirmations of tables in the platform's store, and cache
 * events.
 *
 * <p>Uses datagrams, because only the newest load report matters: a lost one is replaced by the
 * next, and none is delayed by an unresponsive connection. Suspects are reported repeatedly.
 */
public final class PeerReportExchange {

  /** Interval of complete reports, in milliseconds; a lost partial report counts until the next. */
  static final long COMPLETE_INTERVAL_MS = 700;

  /** Interval at which suspects are reported if there are new ones, in milliseconds. */
  static final long SUSPECT_INTERVAL_MS = 50;

  /**
   * Delay of a report of changes that are not urgent, in milliseconds. They usually go along with
   * the next urgent one.
   */
  static final long DELAY_MS = 150;

  /**
   * Maximum number of datagrams with partial reports that an entry sends per second; with more
   * requests or more entries, several changes share a report.
   */
  static final int MAX_SENT_PER_SECOND = 800;

  /** Number of partial reports that may exceed that rate after a time with few of them. */
  static final int BURST_REPORTS = 4;

  /** Rate of the smallest link of a deployment, in Mbit/s; used if that of the VM is not known. */
  static final double DEFAULT_LINK_MBPS = 7;

  private static final Logger LOG = LogManager.getLogger(PeerReportExchange.class);

  private final String vm;
  private final long startedMs;
  private final ServerLoads loads;
  private final PeerLoads received;
  private final CrashSuspects suspects;
  private final DatagramSocket socket;
  private final ReportFanout fanout;
  private final PeerTraffic traffic = new PeerTraffic();
  private volatile List<InetSocketAddress> peers = List.of();
  private volatile Map<String, InetSocketAddress> byVm = Map.of();
  private volatile Set<InetAddress> known = Set.of();
  private volatile Consumer<TableConfirmation> onConfirmation = c -> {};
  private volatile Consumer<CacheEventBatch> onCacheEvents = b -> {};
  private volatile List<PeerReportChannel> channels = List.of();
  private volatile SendRateLimit cacheEventLimit;
  private final Clock clock;
  private final Object sending = new Object();
  private final Object scheduling = new Object();
  private @Nullable ScheduledExecutorService timers;
  private @Nullable ScheduledFuture<?> partialDue;
  private long partialDueMs;

  /** Time at which the partial reports sent so far are within the maximum rate. */
  private long partialPaidMs;

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
    this.clock = clock;
    this.vm = vm;
    this.startedMs = clock.wallMs();
    this.loads = loads;
    this.received = received;
    this.suspects = suspects;
    this.fanout = new ReportFanout(vm);
    this.cacheEventLimit = new SendRateLimit(clock, DEFAULT_LINK_MBPS);
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

  /** Returns the counters of the datagrams that are sent. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Replaces the other entries, whose failure domains are not known: none relays reports. */
  public void setPeers(List<InetSocketAddress> addresses) {
    setMembers("", addresses.stream().map(a -> new Peer(a.toString(), "", a)).toList());
  }

  /**
   * Replaces the entries to which reports are sent and from which reports are accepted.
   *
   * @param ownDomain failure domain of this entry
   */
  public void setMembers(String ownDomain, List<Peer> members) {
    List<InetSocketAddress> addresses = members.stream().map(Peer::address).toList();
    fanout.setPeers(ownDomain, members);
    known =
        addresses.stream()
            .map(InetSocketAddress::getAddress)
            .collect(Collectors.toUnmodifiableSet());
    peers = List.copyOf(addresses);
    byVm =
        members.stream()
            .collect(Collectors.toUnmodifiableMap(Peer::vm, Peer::address, (a, b) -> b));
    channels.forEach(c -> c.setMembers(members));
  }

  /** Sets the listener to other entries' confirmations; must be called before {@link #start}. */
  public void setConfirmationListener(Consumer<TableConfirmation> listener) {
    onConfirmation = listener;
  }

  /**
   * Sets the listener to cache events that other entries have read; must be called before {@link
   * #start}.
   */
  public void setCacheEventListener(Consumer<CacheEventBatch> listener) {
    onCacheEvents = listener;
  }

  /** Sets further kinds of reports; must be called before {@link #start}. */
  public void setChannels(List<PeerReportChannel> all) {
    channels = List.copyOf(all);
  }

  /** Sets the rate of the VM's link in Mbit/s; must be called before {@link #start}. */
  public void setLinkMbps(double mbps) {
    cacheEventLimit = new SendRateLimit(clock, mbps);
  }

  /**
   * Passes cache events on. Those that exceed a datagram, or that would fill the VM's link, are
   * left to the entries to read.
   */
  public void shareCacheEvents(CacheEventBatch b, List<InetSocketAddress> to) {
    byte[] bytes = CacheEventCodec.encode(b);
    boolean all = to.size() == peers.size();
    ReportFanout.Plan plan =
        all ? fanout.plan(clock.nowMs(), false) : new ReportFanout.Plan(to, List.of());
    int copies = plan.direct().size() + plan.relayed().size();
    String problem = "";
    if (bytes.length > LoadReportCodec.MAX_BYTES) {
      problem = "too large";
    } else if (!cacheEventLimit.tryAcquire(copies * PeerTraffic.onLink(bytes.length))) {
      problem = "the link is busy";
    }
    if (problem.isEmpty()) {
      problem = sendPlanned(Kind.CACHE_EVENTS, bytes, plan);
    } else {
      traffic.recordUnsentCacheEvents();
    }
    if (!problem.isEmpty()) {
      LOG.debug("cache events not sent: address={} reason={}", b.address(), problem);
    }
  }

  /** Sends a confirmation to other entries at once, because their reads depend on it. */
  public void confirm(TableConfirmation c, List<InetSocketAddress> to) {
    byte[] bytes = TableConfirmationCodec.encode(new TableConfirmationCodec.Message(vm, c));
    String problem = sendTo(Kind.TABLES, bytes, to);
    if (!problem.isEmpty()) {
      LOG.debug("confirmation not sent: table={} reason={}", c.table(), problem);
    }
  }

  /** Starts sending and receiving. */
  public void start(ScheduledExecutorService timerThreads) {
    Thread t = new Thread(this::receive, "load-reports");
    t.setDaemon(true);
    t.start();
    synchronized (scheduling) {
      timers = timerThreads;
      partialPaidMs = clock.nowMs();
    }
    loads.setChangeListener(this::schedulePartial);
    repeat(timerThreads, COMPLETE_INTERVAL_MS, this::send);
    repeat(timerThreads, SUSPECT_INTERVAL_MS, this::sendSuspects);
    repeat(timerThreads, SUSPECT_INTERVAL_MS, this::replaceLostReports);
    for (PeerReportChannel c : channels) {
      repeat(timerThreads, SUSPECT_INTERVAL_MS, () -> sendDue(c));
    }
  }

  private static void repeat(ScheduledExecutorService timers, long intervalMs, Runnable task) {
    var unused =
        timers.scheduleWithFixedDelay(
            () -> runLogged(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a task; an exception is logged, because it would end the repetition. */
  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("report failed", e);
    }
  }

  /** Schedules a partial report, at once if the change is urgent and the rate allows it. */
  private void schedulePartial(boolean urgent) {
    synchronized (scheduling) {
      if (timers == null || timers.isShutdown()) {
        return;
      }
      long now = clock.nowMs();
      long dueMs = Math.max(now + (urgent ? 0 : DELAY_MS), earliestPartialMs());
      if (partialDue != null) {
        if (partialDueMs <= dueMs) {
          return;
        }
        partialDue.cancel(false);
      }
      partialDueMs = dueMs;
      partialDue =
          timers.schedule(() -> runLogged(this::sendPartial), dueMs - now, TimeUnit.MILLISECONDS);
    }
  }

  private long partialCostMs() {
    return 1_000L * peers.size() / MAX_SENT_PER_SECOND;
  }

  private long earliestPartialMs() {
    return partialPaidMs - (BURST_REPORTS - 1) * partialCostMs();
  }

  private void sendPartial() {
    synchronized (scheduling) {
      partialDue = null;
      partialPaidMs = Math.max(partialPaidMs, clock.nowMs()) + partialCostMs();
    }
    synchronized (sending) {
      Map<String, Load> changes = loads.takeChanges();
      if (!changes.isEmpty()) {
        sendLoads(changes, true);
      }
    }
  }

  /** Sends a complete report of loads to all peers. */
  void send() {
    synchronized (sending) {
      // Taken first: a change during the snapshot is reported once more instead of never.
      loads.takeChanges();
      sendLoads(loads.snapshot(), false);
    }
  }

  /** Replaces the reports that a relay has not confirmed by a complete one. */
  private void replaceLostReports() {
    if (fanout.expire(clock.nowMs())) {
      send();
    }
  }

  private void sendSuspects() {
    suspects.nextReport().map(SuspectReportCodec::encode).ifPresent(this::sendToPeers);
    suspects.parts().nextReport().map(PartReportCodec::encode).ifPresent(this::sendToPeers);
  }

  private void sendDue(PeerReportChannel c) {
    c.takeDue().forEach(this::sendToPeers);
    for (PeerReportChannel.Addressed a : c.takeAddressed()) {
      InetSocketAddress to = byVm.get(a.vm());
      if (to != null) {
        logProblem(sendTo(Kind.RATES, a.bytes(), List.of(to)));
      }
    }
  }

  /** Sends a report that must not wait for the next interval. */
  public void sendToPeers(byte[] bytes) {
    synchronized (sending) {
      logProblem(sendTo(Kind.SUSPECTS, bytes, peers));
    }
  }

  private void sendLoads(Map<String, Load> report, boolean partial) {
    if (peers.isEmpty()) {
      return;
    }
    sequence++;
    byte[] bytes = LoadReportCodec.encode(new Report(vm, startedMs, sequence, report, partial));
    logProblem(sendPlanned(Kind.LOADS, bytes, fanout.plan(clock.nowMs(), true)));
  }

  private void logProblem(String problem) {
    if (problem.isEmpty() == sendFailed) {
      sendFailed = !sendFailed;
      LOG.info("load reports {}: reason={}", sendFailed ? "lost" : "regained", problem);
    }
  }

  /** Sends a report to the destinations of a plan. */
  private String sendPlanned(Kind kind, byte[] bytes, ReportFanout.Plan plan) {
    String problem = sendTo(kind, bytes, plan.direct());
    for (ReportFanout.Relayed r : plan.relayed()) {
      byte[] relayed = RelayedReportCodec.encode(r.token(), bytes);
      problem += sendTo(kind, relayed, List.of(r.address()));
    }
    return problem;
  }

  /** Returns the last error, empty if there was none. */
  private String sendTo(Kind kind, byte[] bytes, List<InetSocketAddress> to) {
    String problem = "";
    for (InetSocketAddress peer : to) {
      try {
        socket.send(new DatagramPacket(bytes, bytes.length, peer));
        traffic.record(kind, fanout.isOwnDomain(peer), bytes.length);
      } catch (IOException e) {
        problem = peer + " " + e.getMessage();
      }
    }
    return problem;
  }

  private void receive() {
    byte[] buffer = new byte[LoadReportCodec.MAX_BYTES + RelayedReportCodec.HEADER_BYTES];
    while (!socket.isClosed()) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        if (known.contains(packet.getAddress())) {
          receive(buffer, packet);
        }
      } catch (MalformedResponseException e) {
        LOG.warn("report ignored: reason={}", e.getMessage());
      } catch (RuntimeException e) {
        // A failing listener must not end the reception of all reports.
        LOG.error("report not applied", e);
      } catch (IOException e) {
        if (!socket.isClosed()) {
          LOG.warn("report not received: reason={}", e.toString());
        }
      }
    }
  }

  private void receive(byte[] buffer, DatagramPacket packet) throws MalformedResponseException {
    if (!RelayedReportCodec.isRelayed(buffer, packet.getLength())) {
      take(buffer, packet.getLength());
      return;
    }
    RelayedReportCodec.Message m = RelayedReportCodec.decode(buffer, packet.getLength());
    if (m.confirmation()) {
      fanout.confirm(m.token());
      return;
    }
    sendTo(Kind.PASSED_ON, m.report(), fanout.ownDomain());
    if (m.token() != 0 && packet.getSocketAddress() instanceof InetSocketAddress sender) {
      byte[] confirmation = RelayedReportCodec.encodeConfirmation(m.token());
      sendTo(Kind.CONFIRMATIONS, confirmation, List.of(sender));
    }
    take(m.report(), m.report().length);
  }

  private void take(byte[] bytes, int length) throws MalformedResponseException {
    for (PeerReportChannel c : channels) {
      if (c.isReport(bytes, length)) {
        c.accept(bytes, length);
        return;
      }
    }
    if (SuspectReportCodec.isReport(bytes, length)) {
      suspects.accept(SuspectReportCodec.decode(bytes, length));
    } else if (PartReportCodec.isReport(bytes, length)) {
      suspects.parts().accept(PartReportCodec.decode(bytes, length));
    } else if (CacheEventCodec.isBatch(bytes, length)) {
      onCacheEvents.accept(CacheEventCodec.decode(bytes, length));
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

package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.ResponseMemoryBudget;
import org.cowslipyoke.relay.Admission;
import org.cowslipyoke.relay.CacheDirectory;
import org.cowslipyoke.relay.CacheTransferPlanner;
import org.cowslipyoke.relay.CallerMemory;
import org.cowslipyoke.relay.ColdStartLimiter;
import org.cowslipyoke.relay.FleetStateHolder;
import org.cowslipyoke.relay.OrganisationShares;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PendingTransfers;
import org.cowslipyoke.relay.PromptAdmission;
import org.cowslipyoke.relay.PromptDemand;
import org.cowslipyoke.relay.PromptPlacement;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.relay.ServicePlacement;
import org.cowslipyoke.relay.ServiceRetryBudget;
import org.cowslipyoke.relay.SilentServers;
import org.cowslipyoke.stream.LocalStreamOrigins;
import org.cowslipyoke.stream.StreamOrigins;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server of an entry that passes requests on to backend servers. */
public final class Relay {

  /** Maximum size of a buffered response in bytes. */
  static final int MAX_RESPONSE_BYTES = 4 << 20;

  /**
   * Fraction of the heap that all buffered responses of servers may have together beyond their
   * reserves.
   */
  private static final double BUFFERED_HEAP_FRACTION = 1.0 / 6;

  /**
   * Time for which a stopping process still accepts requests, in milliseconds. The platform checks
   * readiness every second and removes an entry after two failed checks. Below 3,000 ms, since a
   * request that is accepted later than that must not be cut.
   */
  static final long DRAIN_DELAY_MS = 2_500;

  /**
   * Interval at which a stopping process checks whether its last request has ended, in
   * milliseconds.
   */
  private static final long DRAIN_STEP_MS = 50;

  /**
   * Idle time-out of connections to servers in milliseconds; below the one that servers announce.
   */
  private static final long SERVER_IDLE_MS = 1_500;

  /**
   * Time by which the idle time-out of callers' connections exceeds the one that callers use, in
   * milliseconds.
   */
  private static final long CALLER_IDLE_GRACE_MS = 5_000;

  /**
   * Maximum number of connections to one server; above the requests that an entry has at one
   * engine.
   */
  private static final int MAX_CONNECTIONS = 96;

  /**
   * Connect time-out for a server in the same region, in milliseconds; an unreachable server delays
   * a request by this time.
   */
  private static final long CONNECT_MS = 300;

  /** Interval at which the servers of running requests are checked, in milliseconds. */
  private static final long CHECK_INTERVAL_MS = 200;

  /** Maximum size of a request's head until a desired state was read, in bytes. */
  static final int DEFAULT_MAX_HEADER_BYTES = 16 << 10;

  /** Bytes that Jetty may count in addition to the limit, such as those of line ends. */
  static final int HEADER_SLACK_BYTES = 512;

  private static final Logger LOG = LogManager.getLogger(Relay.class);

  /**
   * Settings of the deployment.
   *
   * @param failureDomain failure domain of this entry
   * @param host address to listen on
   * @param keyMaxAgeMs maximum age of the desired state, in milliseconds, at which keys are
   *     accepted
   * @param oldWeightsMaxMs time for which old weights are still used after new ones were set, in
   *     milliseconds
   * @param budgetWindowMs window of the retry budget in milliseconds
   * @param budgetRatio retries allowed per request
   * @param budgetBase retries allowed per window regardless of the number of requests, for all
   *     entries together
   * @param callerIdleMs idle time-out that callers use, in milliseconds
   * @param callers limits of what callers may hold
   */
  public record Options(
      String failureDomain,
      String host,
      int port,
      long keyMaxAgeMs,
      long oldWeightsMaxMs,
      long budgetWindowMs,
      double budgetRatio,
      double budgetBase,
      long callerIdleMs,
      CallerLimits callers) {

    /** Creates options with limits for callers that follow from the heap. */
    public Options(
        String failureDomain,
        String host,
        int port,
        long keyMaxAgeMs,
        long oldWeightsMaxMs,
        long budgetWindowMs,
        double budgetRatio,
        double budgetBase,
        long callerIdleMs) {
      this(
          failureDomain,
          host,
          port,
          keyMaxAgeMs,
          oldWeightsMaxMs,
          budgetWindowMs,
          budgetRatio,
          budgetBase,
          callerIdleMs,
          CallerLimits.ofProcess(0, 0));
    }
  }

  private final Clock clock;
  private final CrashSuspects suspects;
  private final Server server;
  private final ServerConnector connector;
  private final RelayHandler handler;
  private final HttpClient client;
  private final ScheduledExecutorService timers;

  /** Creates a relay that listens once {@link #start} was called. */
  public Relay(
      Options o,
      Clock clock,
      FleetStateHolder state,
      CacheDirectory caches,
      ServerLoads loads,
      PeerLoads peers,
      RelayDialect dialect,
      MeterRegistry meters,
      QueuedThreadPool threads,
      RandomGenerator random,
      RelayExtensions extensions) {
    this.clock = clock;
    this.suspects = new CrashSuspects(clock);
    suspects.parts().setListener(holds -> PartHolds.logChange(holds, clock));
    ScheduledThreadPoolExecutor t = new ScheduledThreadPoolExecutor(1, Relay::timerThread);
    // A cancelled time-out would hold its request until it is due.
    t.setRemoveOnCancelPolicy(true);
    this.timers = t;
    RelayMetrics metrics = new RelayMetrics(meters);
    CallerMemory memory =
        new CallerMemory(clock, o.callers().memoryBytes(), r -> metrics.evicted(r.name()));
    ConnectionBound connections =
        new ConnectionBound(
            clock, o.callers().connections(), memory, () -> metrics.evicted("WAITING"));
    metrics.reportCallers(memory, connections);
    HttpConnector.Limits limits =
        new HttpConnector.Limits(MAX_CONNECTIONS, MAX_CONNECTIONS, CONNECT_MS, MAX_RESPONSE_BYTES);
    this.client = HttpConnector.startClient("", limits, threads, SERVER_IDLE_MS);
    meters.gauge("cowslipyoke_relay_connections", client, HttpConnector::openConnections);
    client.setUserAgentField(null);
    client.setDefaultRequestContentType(null);
    PendingTransfers transfers = new PendingTransfers();
    StreamOrigins streams = extensions.streams();
    WaitingPrompts waiting = new WaitingPrompts(clock, meters);
    waiting.start(timers);
    RelayContext services =
        new RelayContext(
            clock,
            timers,
            client,
            dialect,
            state,
            new Admission(state, o.keyMaxAgeMs()),
            promptAdmission(o, clock, loads, peers, caches, transfers, random, extensions),
            waiting,
            new ServicePlacement(loads, o.failureDomain(), extensions.crossing(), random),
            loads,
            new ColdStartLimiter(clock),
            new ServiceRetryBudget(clock, o.budgetWindowMs(), o.budgetRatio(), o.budgetBase()),
            ResponseMemoryBudget.ofHeap(BUFFERED_HEAP_FRACTION),
            memory,
            connections,
            suspects,
            new SilentServers(caches),
            metrics,
            streams == null ? new LocalStreamOrigins(state::get) : streams,
            extensions.with(transfers));
    this.handler = new RelayHandler(services);
    var unused =
        timers.scheduleWithFixedDelay(
            handler::checkServers, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    this.server = new Server(threads);
    this.connector = connector(o, services);
    server.addConnector(connector);
    server.setHandler(handler);
  }

  private static PromptAdmission promptAdmission(
      Options o,
      Clock clock,
      ServerLoads loads,
      PeerLoads peers,
      CacheDirectory caches,
      PendingTransfers transfers,
      RandomGenerator random,
      RelayExtensions extensions) {
    PromptPlacement placement =
        new PromptPlacement(
            clock,
            o.failureDomain(),
            loads,
            peers,
            caches,
            new CacheTransferPlanner(caches, transfers),
            extensions.profiles(),
            extensions.crossing(),
            o.oldWeightsMaxMs());
    return new PromptAdmission(
        placement, new PromptDemand(clock), new OrganisationShares(clock), random);
  }

  /**
   * Starts listening.
   *
   * @throws IllegalStateException if the address can't be used
   */
  public InetSocketAddress start() {
    try {
      server.start();
    } catch (Exception e) {
      throw new IllegalStateException("the entry can't listen", e);
    }
    return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
  }

  /** Takes requests that may go on at another server from servers that were found lost. */
  public void leaveLostServers() {
    timers.execute(handler::checkServers);
  }

  /** Returns the requests that are suspected to crash servers. */
  public CrashSuspects suspects() {
    return suspects;
  }

  /** Returns the number of open connections to servers. */
  public int openConnections() {
    return HttpConnector.openConnections(client);
  }

  /** Returns the number of requests whose responses have not been written completely. */
  public int unansweredRequests() {
    return handler.unanswered();
  }

  /**
   * Stops gracefully: accepts requests for {@link #DRAIN_DELAY_MS}, then refuses new ones and waits
   * until the responses to all others are written.
   *
   * @param maxMs maximum duration in milliseconds; requests unanswered then are abandoned
   */
  public void drain(long maxMs) throws InterruptedException {
    long startMs = clock.nowMs();
    handler.closeConnections();
    while (clock.nowMs() - startMs < Math.min(DRAIN_DELAY_MS, maxMs)) {
      Thread.sleep(DRAIN_STEP_MS);
    }
    handler.refuseNew();
    while (handler.unanswered() > 0 && clock.nowMs() - startMs < maxMs) {
      Thread.sleep(DRAIN_STEP_MS);
    }
    LOG.info("drained: running={} tookMs={}", handler.unanswered(), clock.nowMs() - startMs);
  }

  private ServerConnector connector(Options o, RelayContext services) {
    HttpConfiguration config = new HttpConfiguration();
    config.setSendServerVersion(false);
    config.setSendDateHeader(false);
    config.setUriCompliance(UriCompliance.UNSAFE);
    // The cache of 1,024 headers takes 77 KB of heap for each connection: 1,500 exhausted an entry.
    config.setHeaderCacheSize(0);
    config.setRequestHeaderSize(DEFAULT_MAX_HEADER_BYTES + HEADER_SLACK_BYTES);
    ServerConnector c =
        new CallerConnector(
            server,
            new ReadAheadConnectionFactory(config, services.memory(), clock),
            services.connections());
    c.setHost(o.host());
    c.setPort(o.port());
    c.setReuseAddress(true);
    c.setIdleTimeout(o.callerIdleMs() + CALLER_IDLE_GRACE_MS);
    c.setAcceptQueueSize(512);
    CallerSweep sweep = new CallerSweep(services, config);
    var unused =
        timers.scheduleWithFixedDelay(
            sweep, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    return c;
  }

  private static Thread timerThread(Runnable r) {
    Thread t = new Thread(r, "relay-timers");
    t.setDaemon(true);
    return t;
  }
}

package org.cowslipyoke.daemon.relay;

import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.relay.Admission;
import org.cowslipyoke.relay.CacheDirectory;
import org.cowslipyoke.relay.ColdShare;
import org.cowslipyoke.relay.FleetStateHolder;
import org.cowslipyoke.relay.KeptParts;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.PromptPlacement;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.relay.ServicePlacement;
import org.cowslipyoke.relay.ServiceRetryBudget;
import org.cowslipyoke.suspect.CrashSuspects;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP front of an entry that passes requests on to backend servers. */
public final class Relay {

  /**
   * Time for which a stopping process still takes requests, in milliseconds. The platform asks for
   * readiness every second and takes an entry out after two misses; requests that come later than
   * 3,000 ms must not be cut.
   */
  static final long DRAIN_DELAY_MS = 2_500;

  /** Interval in which a stopping process looks whether its last request has ended. */
  private static final long DRAIN_STEP_MS = 50;

  /** Time after which a server's idle connection is closed, in ms; below what servers announce. */
  private static final long SERVER_IDLE_MS = 1_500;

  /** Time by which a caller's idle connection is kept longer than callers may use it, in ms. */
  private static final long CALLER_IDLE_GRACE_MS = 5_000;

  /** Connections to one server; above the requests that an entry has at one engine. */
  private static final int MAX_CONNECTIONS = 96;

  /** Time to connect to a server in the same region, in ms; a dark server costs that much. */
  private static final long CONNECT_MS = 300;

  private static final Logger LOG = LogManager.getLogger(Relay.class);

  /**
   * Figures that the deployment sets.
   *
   * @param failureDomain the own one
   * @param host address to listen at
   * @param keyMaxAgeMs age of the desired state up to which keys are honoured
   * @param oldWeightsMaxMs time after new weights in which old ones are still used
   * @param budgetWindowMs window in which repeats are counted
   * @param budgetRatio repeats that a request earns
   * @param budgetBase repeats in a window, of all entries, that need no requests
   * @param callerIdleMs time for which callers keep idle connections
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
      long callerIdleMs) {}

  private final Clock clock;
  private final CrashSuspects suspects;
  private final Server server;
  private final ServerConnector connector;
  private final RelayHandler handler;
  private final HttpClient client;
  private final ScheduledExecutorService timers;

  /** Creates a relay; it listens after {@link #start}. */
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
      RandomGenerator random) {
    this.clock = clock;
    this.suspects = new CrashSuspects(clock);
    this.timers = Executors.newSingleThreadScheduledExecutor(Relay::timerThread);
    HttpConnector.Limits limits =
        new HttpConnector.Limits(
            MAX_CONNECTIONS, MAX_CONNECTIONS, CONNECT_MS, AnswerBuffer.MAX_BYTES);
    this.client = HttpConnector.startClient("", limits, threads, SERVER_IDLE_MS);
    meters.gauge("cowslipyoke_relay_connections", client, HttpConnector::openConnections);
    client.setUserAgentField(null);
    client.setDefaultRequestContentType(null);
    RelayServices services =
        new RelayServices(
            clock,
            timers,
            client,
            dialect,
            state,
            new Admission(state, o.keyMaxAgeMs()),
            new PromptPlacement(
                clock,
                o.failureDomain(),
                loads,
                peers,
                caches,
                new KeptParts(caches),
                o.oldWeightsMaxMs()),
            new ServicePlacement(loads, o.failureDomain(), random),
            loads,
            new ColdShare(clock),
            new ServiceRetryBudget(clock, o.budgetWindowMs(), o.budgetRatio(), o.budgetBase()),
            new AnswerMemory(),
            suspects,
            new RelayMetrics(meters));
    this.handler = new RelayHandler(services);
    this.server = new Server(threads);
    this.connector = connector(o);
    server.addConnector(connector);
    server.setHandler(handler);
  }

  /**
   * Starts to listen.
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

  /** Returns the requests that are suspected to crash servers. */
  public CrashSuspects suspects() {
    return suspects;
  }

  /** Returns the number of open connections to servers. */
  public int openConnections() {
    return HttpConnector.openConnections(client);
  }

  /** Returns the number of requests in service. */
  public int runningRequests() {
    return handler.running();
  }

  /**
   * Stops gracefully: goes on taking requests for {@link #DRAIN_DELAY_MS}, then refuses new ones
   * and waits for those in service.
   *
   * @param maxMs time after which the rest is given up
   */
  public void drain(long maxMs) throws InterruptedException {
    long startMs = clock.nowMs();
    handler.closeConnections();
    while (clock.nowMs() - startMs < Math.min(DRAIN_DELAY_MS, maxMs)) {
      Thread.sleep(DRAIN_STEP_MS);
    }
    handler.refuseNew();
    while (handler.running() > 0 && clock.nowMs() - startMs < maxMs) {
      Thread.sleep(DRAIN_STEP_MS);
    }
    LOG.info("drained: running={} tookMs={}", handler.running(), clock.nowMs() - startMs);
  }

  private ServerConnector connector(Options o) {
    HttpConfiguration config = new HttpConfiguration();
    config.setSendServerVersion(false);
    config.setSendDateHeader(false);
    config.setUriCompliance(UriCompliance.UNSAFE);
    ServerConnector c = new ServerConnector(server, 0, 1, new WatchedConnectionFactory(config));
    c.setHost(o.host());
    c.setPort(o.port());
    c.setReuseAddress(true);
    c.setIdleTimeout(o.callerIdleMs() + CALLER_IDLE_GRACE_MS);
    c.setAcceptQueueSize(512);
    return c;
  }

  private static Thread timerThread(Runnable r) {
    Thread t = new Thread(r, "relay-timers");
    t.setDaemon(true);
    return t;
  }
}

package org.cowslipyoke.daemon.runtime;

import com.sun.management.UnixOperatingSystemMXBean;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.daemon.relay.CallerBudget;
import org.cowslipyoke.daemon.relay.CallerLimits;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.suspect.SuspectList;
import org.cowslipyoke.transport.DocumentVersions;
import org.cowslipyoke.transport.FrameNode;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** A daemon process: owns the listeners, the document exchange and the role. */
public final class DaemonRuntime {

  private static final Logger LOG = LogManager.getLogger(DaemonRuntime.class);
  private static final int SCHEDULER_THREADS = 2;

  /**
   * Maximum number of concurrent blocking calls; during a table outage each takes its full
   * time-out.
   */
  private static final int WORKER_THREADS = 32;

  private static final int MAX_QUEUED_TASKS = 4_096;
  private static final int HTTP_THREADS = 48;
  private static final long HTTP_STOP_TIMEOUT_MS = 5_000;
  private static final long DRAIN_POLL_MS = 20;

  private final Settings settings;
  private final Clock clock;
  private final PlatformClients platform;
  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final SuspectList suspects = new SuspectList();
  private final PauseDetector pauses;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ScheduledThreadPoolExecutor scheduler =
      new ScheduledThreadPoolExecutor(SCHEDULER_THREADS, r -> daemonThread(r, "scheduler"));
  private final ThreadPoolExecutor workers;
  private final ControlCpuTime controlTime = new ControlCpuTime();
  private final DaemonMetrics metrics;
  private final DocumentExchange exchange;
  private final StreamDispatcher dispatcher;
  private final FrameNode node;
  private final Role role;
  private final Readiness readiness;
  private final CallerBudget callers;
  private final Server server;
  private final ServerConnector connector;
  private @Nullable Future<?> ticks;

  /** Creates the process without opening its listeners. */
  public DaemonRuntime(
      Settings settings,
      Clock clock,
      PlatformClients platform,
      Function<DaemonContext, Role> roles) {
    this.settings = settings;
    this.clock = clock;
    this.platform = platform;
    this.pauses = new PauseDetector(clock);
    this.workers = newWorkers();
    this.exchange = newExchange();
    this.dispatcher = new StreamDispatcher(exchange::handle);
    this.node = newNode();
    exchange.connect(node);
    scheduler.setRemoveOnCancelPolicy(true);
    this.role = roles.apply(context());
    this.readiness = new Readiness(settings, configuration, suspects, pauses, role);
    this.server = new Server(new QueuedThreadPool(HTTP_THREADS));
    this.callers = new CallerBudget(clock, limits(settings.callers()), meters);
    this.connector = newConnector();
    this.metrics = new DaemonMetrics(meters);
    metrics.bindState(configuration, suspects, pauses, readiness);
    metrics.bindProcess(controlTime, node.stats());
    metrics.bindExchange(exchange.stats());
  }

  /**
   * Starts the process. The transport is opened first, because the role opens streams as soon as it
   * starts. Streams of peers are refused as not run until the role has started.
   */
  public Either<Failure, Ports> start() {
    return node.start()
        .flatMap(
            framePort -> {
              Runnable tick = controlTime.measured(this::tick);
              ticks =
                  scheduler.scheduleWithFixedDelay(
                      tick, 0, PauseDetector.TICK_MS, TimeUnit.MILLISECONDS);
              role.start();
              callers.start(scheduler);
              dispatcher.setRole(role);
              return startHttp().map(httpPort -> new Ports(httpPort, framePort));
            });
  }

  /** Ports that the process listens on. */
  public record Ports(int httpPort, int framePort) {}

  /** Returns whether the process accepts new work. */
  public boolean isReady() {
    return readiness.isReady();
  }

  /** Returns the holder of the active configuration. */
  public ConfigurationHolder configuration() {
    return configuration;
  }

  /**
   * Shuts down gracefully: the process reports that it is not ready, accepts requests during the
   * drain delay, then refuses new work and waits for running work, at most for the drain timeout.
   */
  public void shutDown() {
    LOG.info("shutdown started, running={}", role.running());
    readiness.shutDown();
    await(settings.drainDelayMs(), false);
    role.stopAdmitting();
    await(settings.drainTimeoutMs(), true);
    if (role.running() > 0) {
      LOG.warn("drain timeout reached, running={}", role.running());
    }
    try {
      server.stop();
    } catch (Exception e) {
      LOG.warn("the HTTP server did not stop cleanly", e);
    }
    role.stop();
    Future<?> t = ticks;
    if (t != null) {
      t.cancel(false);
    }
    node.close();
    scheduler.shutdownNow();
    workers.shutdownNow();
    platform.close().run();
    LOG.info("shutdown complete");
  }

  private void await(long timeoutMs, boolean untilIdle) {
    long end = clock.nowMs() + timeoutMs;
    while (clock.nowMs() < end && !(untilIdle && role.running() == 0)) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_MS));
    }
  }

  private void tick() {
    try {
      exchange.tick();
    } catch (RuntimeException e) {
      LOG.error("periodic document exchange failed", e);
    }
  }

  private Either<Failure, Integer> startHttp() {
    try {
      server.start();
      return Either.right(connector.getLocalPort());
    } catch (Exception e) {
      String m = "the HTTP server cannot listen: " + e.getMessage();
      return Either.left(Failure.of(ErrorKind.INTERNAL, m));
    }
  }

  private ServerConnector newConnector() {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    ServerConnector c = callers.connector(server, http);
    c.setHost(settings.listen().host());
    c.setPort(settings.listen().httpPort());
    server.addConnector(c);
    server.setHandler(
        callers.wrap(
            new Handler.Sequence(new StatusHandler(readiness, meters), role.httpHandler())));
    server.setStopTimeout(HTTP_STOP_TIMEOUT_MS);
    return c;
  }

  private static CallerLimits limits(Settings.Callers c) {
    return CallerLimits.ofProcess(0, maxDescriptors())
        .with(c.memoryBytes(), c.maxConnections(), c.maxConnectionsPerAddress());
  }

  /** Returns the maximum number of open descriptors, 0 if it is not known. */
  private static int maxDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean u
        ? (int) Math.min(u.getMaxFileDescriptorCount(), Integer.MAX_VALUE)
        : 0;
  }

  private DocumentExchange newExchange() {
    Random random = new Random();
    PeerDirectory peers = new PeerDirectory(settings.vm(), platform.vms(), clock, random);
    List<Replica> replicas =
        List.of(new ConfigurationReplica(configuration), new SuspectListReplica(suspects));
    return new DocumentExchange(
        settings.role().equals(DaemonText.ROLE_ENTRY),
        clock,
        pauses,
        platform.table(),
        peers,
        task -> workers.execute(controlTime.measured(task)),
        random,
        replicas);
  }

  private FrameNode newNode() {
    return FrameNode.builder()
        .hello(new Hello(settings.vm(), settings.role(), settings.failureDomain()))
        .versions(new Versions(configuration, suspects))
        .versionListener(exchange)
        .clock(clock)
        .acceptor(dispatcher)
        .listenHost(settings.listen().host())
        .listenPort(settings.listen().framePort())
        .build();
  }

  private DaemonContext context() {
    return new DaemonContext(
        settings,
        clock,
        configuration,
        suspects,
        pauses,
        platform.table(),
        platform.objects(),
        platform.vms(),
        platform.weights(),
        node,
        scheduler,
        workers,
        meters);
  }

  private static ThreadPoolExecutor newWorkers() {
    ThreadPoolExecutor e =
        new ThreadPoolExecutor(
            WORKER_THREADS,
            WORKER_THREADS,
            10,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAX_QUEUED_TASKS),
            r -> daemonThread(r, "worker"));
    e.allowCoreThreadTimeOut(true);
    return e;
  }

  private static Thread daemonThread(Runnable task, String name) {
    Thread t = new Thread(task, name);
    t.setDaemon(true);
    return t;
  }

  private record Versions(ConfigurationHolder configuration, SuspectList suspects)
      implements DocumentVersions {

    @Override
    public long configVersion() {
      return configuration.headVersion();
    }

    @Override
    public long suspectsVersion() {
      return suspects.current().version();
    }
  }
}

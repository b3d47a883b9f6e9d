package org.cowslipyoke.daemon.server;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.admission.ServerAvailability;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.daemon.runtime.Role;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.PlainService;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** The server role: runs beside a backend server and serves it to the entries. */
public final class ServerRole implements Role {

  private static final Logger LOG = LogManager.getLogger(ServerRole.class);

  /** Interval at which this VM's row of the VM list is read, in milliseconds. */
  private static final long OWN_ROW_INTERVAL_MS = 2_000;

  /** Interval at which the store VMs are read from the VM list, in milliseconds. */
  private static final long STORES_INTERVAL_MS = 10_000;

  /** Interval at which expired runs are removed, in milliseconds. */
  private static final long EXPIRE_INTERVAL_MS = 1_000;

  /** Duration of one round of exports, in milliseconds. */
  private static final long EXPORT_ROUND_MS = 1_000;

  /** Pause between rounds of exports, in milliseconds. */
  private static final long EXPORT_INTERVAL_MS = 50;

  private final DaemonContext context;
  private final Settings.Backend backend;
  private final Runnable closeBackends;
  private final ServerAvailability standing;
  private final RunRegistry registry = new RunRegistry();
  private final ServerThreadPools pools = ServerThreadPools.create();
  private final PeriodicTasks periodicTasks;
  private final PeriodicTasks exportTasks;
  private final @Nullable EngineComponents engineComponents;
  private final @Nullable ServiceCallHandler service;
  private volatile long nextWeightStepMs = Long.MIN_VALUE;

  /**
   * Creates the role with HTTP clients, which are closed when the role stops.
   *
   * @throws IllegalArgumentException if the settings have no backend
   */
  public ServerRole(DaemonContext context) {
    this(context, HttpConnector.start(context.settings().vm(), HttpConnector.Limits.defaults()));
  }

  private ServerRole(DaemonContext context, HttpConnector connector) {
    this(context, HttpBackendClients.of(connector, backendOf(context)), connector::close);
  }

  /**
   * Creates the role with the given clients.
   *
   * @param closeBackends called when the role has stopped
   * @throws IllegalArgumentException if the settings have no backend
   */
  public ServerRole(DaemonContext context, BackendClients backends, Runnable closeBackends) {
    this.context = context;
    this.closeBackends = closeBackends;
    this.backend = backendOf(context);
    this.standing =
        new ServerAvailability(
            context.configuration(), context.pauses(), context.settings().failureDomain());
    this.periodicTasks =
        new PeriodicTasks(context.scheduler(), context.workers(), backends.random());
    this.exportTasks = new PeriodicTasks(context.scheduler(), pools.exports(), backends.random());
    ServerMetrics metrics = new ServerMetrics(context.meters());
    ModelEngine engine = backends.engine();
    this.engineComponents =
        engine == null
            ? null
            : EngineComponents.create(
                context, backends, engine, standing, registry, metrics, pools);
    PlainService plain = backends.service();
    this.service =
        plain == null
            ? null
            : new ServiceCallHandler(context.clock(), plain, standing, metrics, pools.runs());
  }

  @Override
  public StreamHandler accept(Hello peer, MessageStream stream) {
    EngineComponents e = engineComponents;
    return new ServerStream(context.workers(), e == null ? null : e.handler(), service);
  }

  @Override
  public Handler httpHandler() {
    return new Handler.Abstract.NonBlocking() {
      @Override
      public boolean handle(Request request, Response response, Callback callback) {
        return false;
      }
    };
  }

  @Override
  public void start() {
    periodicTasks.schedule(OWN_ROW_INTERVAL_MS, this::readOwnRow);
    EngineComponents e = engineComponents;
    if (e != null) {
      periodicTasks.schedule(EngineMonitor.INTERVAL_MS, e.monitor()::poll);
      periodicTasks.schedule(STORES_INTERVAL_MS, this::readStores);
      periodicTasks.schedule(EXPIRE_INTERVAL_MS, this::expireRuns);
      periodicTasks.schedule(WeightReconciler.BUSY_INTERVAL_MS, this::reconcileWeights);
      for (int i = 0; i < ServerThreadPools.EXPORT_THREADS; i++) {
        exportTasks.schedule(EXPORT_INTERVAL_MS, () -> e.exporter().exportFor(EXPORT_ROUND_MS));
      }
    }
  }

  @Override
  public boolean isReady() {
    EngineComponents e = engineComponents;
    return e == null || !e.admission().weightVersion().isEmpty();
  }

  @Override
  public void stopAdmitting() {
    standing.stop();
  }

  @Override
  public int running() {
    ServiceCallHandler s = service;
    return registry.undelivered() + (s == null ? 0 : s.running());
  }

  @Override
  public void stop() {
    periodicTasks.stop();
    exportTasks.stop();
    engineComponents().ifPresent(e -> e.weightReconciler().stop());
    pools.stop();
    closeBackends.run();
  }

  private static Settings.Backend backendOf(DaemonContext context) {
    Settings.Backend backend = context.settings().backend();
    if (backend == null) {
      throw new IllegalArgumentException("role server requires the setting backend");
    }
    return backend;
  }

  /**
   * Returns the admission of the engine, with which weight orders are coordinated; empty if the
   * backend is a plain service.
   */
  public Optional<ServerAdmission> admission() {
    return Optional.ofNullable(engineComponents).map(EngineComponents::admission);
  }

  /** Returns the components for the engine; empty if the backend is a plain service. */
  Optional<EngineComponents> engineComponents() {
    return Optional.ofNullable(engineComponents);
  }

  /** Reads the store VMs from the VM list. */
  void readStores() {
    engineComponents().ifPresent(e -> e.network().refresh(context.vms(), backend.group()));
  }

  /**
   * Reads this VM's row of the VM list. While the list is unavailable, the last known state
   * applies.
   */
  void readOwnRow() {
    context
        .vms()
        .find(context.settings().vm())
        .peek(row -> standing.setLeaving(row.filter(v -> v.state() == State.LEAVING).isPresent()))
        .peekLeft(f -> LOG.warn("reading this VM's row of the VM list failed, kind={}", f.kind()));
    engineComponents().ifPresent(e -> e.scheduler().dispatch());
  }

  /**
   * Runs a step of the weight reconciler if the delay that the previous step returned has passed.
   */
  void reconcileWeights() {
    long now = context.clock().nowMs();
    EngineComponents e = engineComponents;
    if (e != null && now >= nextWeightStepMs) {
      nextWeightStepMs = now + e.weightReconciler().step();
    }
  }

  /**
   * Removes expired runs and cancels running ones that have had no stream for the retention time.
   */
  void expireRuns() {
    for (Run r : registry.expire()) {
      LOG.info("cancelling a run without a stream, attempt={}", r.start().attempt());
      engineComponents().ifPresent(e -> e.handler().cancel(r));
    }
  }
}

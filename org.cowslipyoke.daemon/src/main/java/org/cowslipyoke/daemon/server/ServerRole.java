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

/** The role in the slot beside a backend server. */
public final class ServerRole implements Role {

  private static final Logger LOG = LogManager.getLogger(ServerRole.class);

  /** Interval at which the own row of the VM list is read, in milliseconds. */
  private static final long OWN_ROW_MS = 2_000;

  /** Interval at which the store VMs are read from the list, in milliseconds. */
  private static final long STORES_MS = 10_000;

  /** Interval at which runs without a stream are looked for, in milliseconds. */
  private static final long EXPIRE_MS = 1_000;

  /** Length of one round of exports, in milliseconds. */
  private static final long EXPORT_MS = 1_000;

  /** Interval at which blocks to export are looked for, in milliseconds. */
  private static final long EXPORT_IDLE_MS = 50;

  private final DaemonContext context;
  private final Settings.Backend backend;
  private final Runnable closeBackends;
  private final ServerAvailability standing;
  private final RunRegistry registry = new RunRegistry();
  private final ServerPools pools = ServerPools.create();
  private final Periodic periodic;
  private final Periodic exports;
  private final @Nullable EngineSide engineSide;
  private final @Nullable ServiceRunner service;
  private volatile long nextWeightStepMs = Long.MIN_VALUE;

  /**
   * Creates the role of a server with clients over HTTP, which end with the role.
   *
   * @throws IllegalArgumentException if the settings name no backend
   */
  public ServerRole(DaemonContext context) {
    this(context, HttpConnector.start(context.settings().vm(), HttpConnector.Limits.defaults()));
  }

  private ServerRole(DaemonContext context, HttpConnector connector) {
    this(context, HttpBackends.of(connector, backendOf(context)), connector::close);
  }

  /**
   * Creates the role of a server.
   *
   * @param closeBackends called when the role has stopped
   * @throws IllegalArgumentException if the settings name no backend
   */
  public ServerRole(DaemonContext context, Backends backends, Runnable closeBackends) {
    this.context = context;
    this.closeBackends = closeBackends;
    this.backend = backendOf(context);
    this.standing =
        new ServerAvailability(
            context.configuration(), context.pauses(), context.settings().failureDomain());
    this.periodic = new Periodic(context.scheduler(), context.workers(), backends.random());
    this.exports = new Periodic(context.scheduler(), pools.exports(), backends.random());
    ServerMetrics metrics = new ServerMetrics(context.meters());
    ModelEngine engine = backends.engine();
    this.engineSide =
        engine == null
            ? null
            : EngineSide.create(context, backends, engine, standing, registry, metrics, pools);
    PlainService plain = backends.service();
    this.service =
        plain == null
            ? null
            : new ServiceRunner(context.clock(), plain, standing, metrics, pools.runs());
  }

  @Override
  public StreamHandler accept(Hello peer, MessageStream stream) {
    EngineSide e = engineSide;
    return new ServerStream(context.workers(), e == null ? null : e.model(), service);
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
    periodic.every(OWN_ROW_MS, this::readOwnRow);
    EngineSide e = engineSide;
    if (e != null) {
      periodic.every(EngineMonitor.INTERVAL_MS, e.monitor()::poll);
      periodic.every(STORES_MS, this::readStores);
      periodic.every(EXPIRE_MS, this::expire);
      periodic.every(WeightReconciler.BUSY_MS, this::reconcileWeights);
      for (int i = 0; i < ServerPools.EXPORT_THREADS; i++) {
        exports.every(EXPORT_IDLE_MS, () -> e.exporter().exportFor(EXPORT_MS));
      }
    }
  }

  @Override
  public boolean isReady() {
    EngineSide e = engineSide;
    return e == null || !e.admission().weightVersion().isEmpty();
  }

  @Override
  public void stopAdmitting() {
    standing.stop();
  }

  @Override
  public int running() {
    ServiceRunner s = service;
    return registry.owed() + (s == null ? 0 : s.running());
  }

  @Override
  public void stop() {
    periodic.stop();
    exports.stop();
    engineSide().ifPresent(e -> e.weights().stop());
    pools.stop();
    closeBackends.run();
  }

  private static Settings.Backend backendOf(DaemonContext context) {
    Settings.Backend backend = context.settings().backend();
    if (backend == null) {
      throw new IllegalArgumentException("role server needs the setting backend");
    }
    return backend;
  }

  /** Returns the admission of the engine, with which orders to it are coordinated. */
  public Optional<ServerAdmission> admission() {
    return Optional.ofNullable(engineSide).map(EngineSide::admission);
  }

  /** Returns what runs for the engine, for tests that drive the role step by step. */
  Optional<EngineSide> engineSide() {
    return Optional.ofNullable(engineSide);
  }

  /** Reads the store VMs from the list. */
  void readStores() {
    engineSide().ifPresent(e -> e.network().refresh(context.vms(), backend.group()));
  }

  /** Reads the own row. The list is a hint; while it is unavailable the last state stays. */
  void readOwnRow() {
    context
        .vms()
        .find(context.settings().vm())
        .peek(row -> standing.setLeaving(row.filter(v -> v.state() == State.LEAVING).isPresent()))
        .peekLeft(f -> LOG.warn("reading the own row of the VM list failed: {}", f.kind()));
    engineSide().ifPresent(e -> e.driver().pump());
  }

  /** Steps the weight reconciler when the time that its last step asked for has come. */
  void reconcileWeights() {
    long now = context.clock().nowMs();
    EngineSide e = engineSide;
    if (e != null && now >= nextWeightStepMs) {
      nextWeightStepMs = now + e.weights().step();
    }
  }

  /** Forgets old runs and cancels runs that no entry has come back for. */
  void expire() {
    for (Run r : registry.expire()) {
      LOG.info("cancelling a run without a stream, attempt {}", r.start().attempt());
      engineSide().ifPresent(e -> e.model().cancel(r));
    }
  }
}

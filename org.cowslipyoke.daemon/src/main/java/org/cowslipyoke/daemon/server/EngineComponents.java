package org.cowslipyoke.daemon.server;

import java.util.HexFormat;
import java.util.Objects;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.admission.ServerAvailability;
import org.cowslipyoke.blocks.CacheView;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.lease.LoadingSlots;
import org.cowslipyoke.lease.OrderLease;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.util.Clock;

/**
 * Components of a server daemon whose backend is a model engine.
 *
 * @param network store VMs and the links to them
 */
record EngineComponents(
    ServerAdmission admission,
    StoreNetwork network,
    BlockExporter exporter,
    RunScheduler scheduler,
    EngineMonitor monitor,
    ModelRequestHandler handler,
    WeightReconciler weightReconciler) {

  /** Creates the components for one engine. */
  static EngineComponents create(
      DaemonContext context,
      BackendClients backends,
      ModelEngine engine,
      ServerAvailability standing,
      RunRegistry registry,
      ServerMetrics metrics,
      ServerThreadPools pools) {
    Clock clock = context.clock();
    RandomGenerator random = backends.random();
    ServerAdmission admission =
        new ServerAdmission(clock, standing, context.configuration(), context.suspects(), random);
    metrics.bindAdmission(admission);
    StoreNetwork network =
        new StoreNetwork(clock, context.configuration(), backends.stores(), random, metrics);
    BlockExporter exporter = new BlockExporter(clock, context.configuration(), network, engine);
    RunExecutor executor = new RunExecutor(clock, engine, admission, metrics, exporter);
    RunScheduler scheduler = new RunScheduler(admission, registry, executor, metrics, pools.runs());
    CacheView cache = new CacheView();
    BlockImporter importer = new BlockImporter(clock, network, engine, cache, pools.transfers());
    ModelRequestHandler handler =
        new ModelRequestHandler(
            clock,
            standing,
            admission,
            registry,
            scheduler,
            importer,
            metrics,
            pools.lookups(),
            () -> runId(random));
    EngineMonitor monitor = new EngineMonitor(engine, admission, scheduler, cache);
    WeightReconciler weightReconciler = weightReconciler(context, engine, standing, admission);
    return new EngineComponents(
        admission, network, exporter, scheduler, monitor, handler, weightReconciler);
  }

  private static WeightReconciler weightReconciler(
      DaemonContext context,
      ModelEngine engine,
      ServerAvailability standing,
      ServerAdmission admission) {
    Settings settings = context.settings();
    Settings.Backend backend = Objects.requireNonNull(settings.backend());
    Supplier<String> tokens = () -> UUID.randomUUID().toString();
    return new WeightReconciler(
        backend.group(),
        context.configuration(),
        engine,
        new OrderLease(context.table(), context.clock(), context.pauses(), settings.vm(), tokens),
        new LoadingSlots(context.table(), context.clock(), settings.vm(), tokens),
        context.vms(),
        () -> standing.refusal().isEmpty(),
        on -> {
          admission.suspendSubmission(!on);
          return admission.active();
        });
  }

  private static String runId(RandomGenerator random) {
    byte[] id = new byte[12];
    synchronized (random) {
      random.nextBytes(id);
    }
    return HexFormat.of().formatHex(id);
  }
}

package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.claim.ClaimBatcher;
import org.cowslipyoke.claim.ClaimLedger;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Limits;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.daemon.runtime.Role;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.routing.FleetView;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.routing.RoutingPolicies;
import org.cowslipyoke.routing.RoutingPolicy;
import org.cowslipyoke.suspect.SuspectListWriter;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;
import org.eclipse.jetty.server.Handler;

/** The entry role: accepts the requests of callers and relays the responses of backend servers. */
public final class EntryRole implements Role {

  /**
   * Interval at which the VM list is read, in milliseconds. A leaving server must stop getting new
   * work within 3 s at today's sizes; the lag of the list itself comes on top of the interval.
   */
  static final long VM_LIST_INTERVAL_MS = 1_000;

  /**
   * Interval at which unwritten suspects are flushed and orphaned claims released, in milliseconds.
   */
  static final long CLEANUP_INTERVAL_MS = 1_000;

  private static final Logger LOG = LogManager.getLogger(EntryRole.class);

  /** Limits before the first configuration is loaded; no request is admitted until then. */
  private static final Limits INITIAL_LIMITS = new Limits(1, 0, 0, 1, 60_000, 1 << 20);

  private final DaemonContext context;
  private final FleetView fleet = new FleetView();
  private final AtomicInteger running = new AtomicInteger();
  private final EntryServices services;
  private final EntryAdmission admission;
  private final EntryHandler handler;
  private final List<ScheduledFuture<?>> periodic = new ArrayList<>();

  /** Creates the role. */
  public EntryRole(DaemonContext context) {
    this(context, BodyReader.TIMEOUT_MS);
  }

  /**
   * Creates the role with another time limit for bodies.
   *
   * @param bodyTimeoutMs time in which a request body has to arrive, in milliseconds
   */
  EntryRole(DaemonContext context, long bodyTimeoutMs) {
    this.context = context;
    EntryMetrics metrics = new EntryMetrics(context.meters(), running);
    ClaimLedger claims = new ClaimLedger(context.table(), context.objects(), context.clock());
    ClaimBatcher.Delay delay =
        (task, intervalMs) -> {
          var unused = context.scheduler().schedule(task, intervalMs, TimeUnit.MILLISECONDS);
        };
    ClaimBatcher batcher = new ClaimBatcher(claims, context.workers(), delay);
    SuspectListWriter suspects =
        new SuspectListWriter(context.table(), context.suspects(), context.clock());
    services = new EntryServices(context, claims, batcher, suspects, metrics);
    admission = new EntryAdmission(context, fleet, metrics, running, bodyTimeoutMs);
    Supplier<Limits> limits =
        () -> context.configuration().current().map(Configuration::limits).orElse(INITIAL_LIMITS);
    RoutingPolicy policy =
        RoutingPolicies.byName(context.settings().policy(), context.clock(), limits);
    RetryBudget retries = new RetryBudget(context.clock());
    RequestDriverFactory setup = new RequestDriverFactory(services, fleet, policy, retries);
    handler = new EntryHandler(admission, new ChatRoute(setup), new ServiceRoute(setup));
  }

  @Override
  public Handler httpHandler() {
    return handler;
  }

  @Override
  public void start() {
    runPeriodically(VM_LIST_INTERVAL_MS, this::readVmList);
    runPeriodically(
        CLEANUP_INTERVAL_MS,
        () -> {
          services.suspects().flush();
          services.claims().releaseOrphans();
          admission.removeUnknownOrganisations();
        });
  }

  @Override
  public boolean isReady() {
    return fleet.isKnown();
  }

  @Override
  public void stopAdmitting() {
    admission.stopAdmitting();
  }

  @Override
  public int running() {
    return running.get();
  }

  @Override
  public void stop() {
    periodic.forEach(f -> f.cancel(false));
  }

  /**
   * Refuses the stream: the runtime handles document streams, and an entry executes no work for its
   * peers.
   */
  @Override
  public StreamHandler accept(Hello peer, MessageStream stream) {
    return new StreamHandler() {
      @Override
      public void onMessage(MessageStream s, Message message) {
        if (!s.send(
            new Refused(ErrorKind.NO_SERVER, "an entry executes no requests of peers", 0))) {
          LOG.debug("the stream is closed");
        }
        s.close();
      }

      @Override
      public void onClosed(MessageStream s, Failure failure) {
        LOG.debug("a refused stream was closed");
      }
    };
  }

  private void readVmList() {
    Either<Failure, List<Vm>> vms = context.vms().list();
    if (vms.isRight()) {
      fleet.update(vms.get());
    } else {
      LOG.warn("the VM list cannot be read, kind={}", vms.getLeft().kind().wireName());
    }
  }

  /**
   * Runs a blocking task on the workers periodically; a round is skipped while the previous one
   * runs.
   */
  private void runPeriodically(long intervalMs, Runnable task) {
    AtomicBoolean busy = new AtomicBoolean();
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            LOG.error("a periodic task failed", e);
          } finally {
            busy.set(false);
          }
        };
    Runnable tick =
        () -> {
          if (busy.compareAndSet(false, true) && !services.executeBlocking(guarded)) {
            busy.set(false);
          }
        };
    periodic.add(
        context.scheduler().scheduleWithFixedDelay(tick, 0, intervalMs, TimeUnit.MILLISECONDS));
  }
}

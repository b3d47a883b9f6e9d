package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.admission.Ticket;
import org.cowslipyoke.admission.Ticket.Dropped;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message.Start;

/**
 * Passes admitted runs from the queue to the executor. Runs that are no longer admissible are
 * refused as not run; runs that have a slot are executed. Thread-safe; blocks only in {@link
 * #cancel}.
 */
final class RunScheduler {

  private static final Logger LOG = LogManager.getLogger(RunScheduler.class);

  private final ServerAdmission admission;
  private final RunRegistry registry;
  private final RunExecutor executor;
  private final ServerMetrics metrics;
  private final Executor pool;
  private final Object lock = new Object();
  private final Map<Ticket, ScheduledRun> byTicket = new HashMap<>();
  private final Map<Run, ScheduledRun> byRun = new HashMap<>();

  RunScheduler(
      ServerAdmission admission,
      RunRegistry registry,
      RunExecutor executor,
      ServerMetrics metrics,
      Executor pool) {
    this.admission = admission;
    this.registry = registry;
    this.executor = executor;
    this.metrics = metrics;
    this.pool = pool;
  }

  /**
   * Queues a run if it is admitted. The run is registered under the same lock, so that no other
   * thread can take its ticket before that.
   *
   * @param blocks starts the import of the run's blocks
   */
  Optional<Failure> start(Run run, String runId, Supplier<BlockImporter.Import> blocks) {
    Start s = run.start();
    synchronized (lock) {
      Either<Failure, Ticket> admitted =
          admission.start(s.reservationId(), AdmissionRequests.of(s));
      if (admitted.isLeft()) {
        return Optional.of(admitted.getLeft());
      }
      ScheduledRun work = new ScheduledRun(run, admitted.get(), blocks.get(), runId);
      byTicket.put(work.ticket(), work);
      byRun.put(run, work);
      registry.add(run);
    }
    return Optional.empty();
  }

  /** Refuses dropped runs and executes the runs that have a slot. */
  void dispatch() {
    List<ScheduledRun> ready = new ArrayList<>();
    synchronized (lock) {
      for (Dropped d : admission.sweep()) {
        refuseDropped(d);
      }
      for (Optional<Ticket> t = admission.activateNext();
          t.isPresent();
          t = admission.activateNext()) {
        ScheduledRun w = byTicket.get(t.get());
        if (w == null) {
          throw new IllegalStateException("admission returned a ticket that has no run");
        }
        ready.add(w);
      }
    }
    ready.forEach(this::submit);
  }

  /**
   * Cancels a run at the request of its entry. A run that is still queued is reported as not run.
   */
  void cancel(Run run) {
    ScheduledRun work;
    synchronized (lock) {
      work = byRun.get(run);
      if (work == null || !run.cancel()) {
        return;
      }
      if (admission.withdraw(work.ticket())) {
        remove(work);
        run.fail(ErrorKind.CANCELLED, Outcome.NOT_RUN, "the run was cancelled before it started");
        return;
      }
    }
    executor.cancel(work);
    run.fail(ErrorKind.CANCELLED, Outcome.UNKNOWN, "the run was cancelled while it was running");
  }

  /**
   * Fails all runs that were in flight at the crashed incarnation of the engine. Further reports of
   * the same crash have no effect.
   */
  void onEngineCrash(String incarnation) {
    synchronized (lock) {
      List<Run> inFlight = registry.inFlight(incarnation);
      if (inFlight.isEmpty()) {
        return;
      }
      LOG.warn("engine crashed, incarnation={} inFlight={}", incarnation, inFlight.size());
      admission.onCrash(inFlight.stream().map(r -> r.start().digest()).toList());
      inFlight.forEach(
          r -> r.fail(ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN, "the engine crashed"));
    }
  }

  private void refuseDropped(Dropped d) {
    ScheduledRun w = byTicket.get(d.ticket());
    if (w != null) {
      remove(w);
      metrics.countRefusal(d.reason().kind());
      w.run().refuse(d.reason());
    }
  }

  private void submit(ScheduledRun work) {
    try {
      pool.execute(() -> executeWithLogContext(work));
    } catch (RejectedExecutionException e) {
      work.run().refuse(Failure.of(ErrorKind.OVERLOADED, "all run threads are busy"));
      finish(work);
    }
  }

  private void executeWithLogContext(ScheduledRun work) {
    Start s = work.run().start();
    LogContext.run(s.requestId(), s.organisation(), () -> execute(work));
  }

  private void execute(ScheduledRun work) {
    try {
      executor.execute(work, this::onEngineCrash);
    } catch (RuntimeException e) {
      LOG.error("run failed", e);
      work.run().fail(ErrorKind.INTERNAL, Outcome.UNKNOWN, "internal error");
    } finally {
      finish(work);
    }
    dispatch();
    if (work.run().isAnswered()) {
      executor.export(work);
    }
  }

  private void finish(ScheduledRun work) {
    synchronized (lock) {
      remove(work);
      admission.onFinished(work.ticket(), work.run().isAnswered());
    }
    metrics.countRun(work.run().isAnswered() ? "answered" : "failed");
  }

  private void remove(ScheduledRun work) {
    byTicket.remove(work.ticket());
    byRun.remove(work.run());
  }
}

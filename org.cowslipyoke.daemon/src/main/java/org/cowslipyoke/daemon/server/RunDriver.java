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
 * Moves admitted runs through the queue to the executor: what may not run any more is returned as
 * not run, what has a slot is executed. Thread-safe; blocks only in {@link #cancel}.
 */
final class RunDriver {

  private static final Logger LOG = LogManager.getLogger(RunDriver.class);

  private final ServerAdmission admission;
  private final RunRegistry registry;
  private final EngineExecution execution;
  private final ServerMetrics metrics;
  private final Executor pool;
  private final Object lock = new Object();
  private final Map<Ticket, Work> byTicket = new HashMap<>();
  private final Map<Run, Work> byRun = new HashMap<>();

  RunDriver(
      ServerAdmission admission,
      RunRegistry registry,
      EngineExecution execution,
      ServerMetrics metrics,
      Executor pool) {
    this.admission = admission;
    this.registry = registry;
    this.execution = execution;
    this.metrics = metrics;
    this.pool = pool;
  }

  /**
   * Puts a run into the queue if it is admitted. The run is registered in the same step, so that no
   * other thread can take its ticket before.
   *
   * @param blocks begins the import of the run's blocks
   */
  Optional<Failure> start(Run run, String runId, Supplier<BlockImporter.Import> blocks) {
    Start s = run.start();
    synchronized (lock) {
      Either<Failure, Ticket> admitted = admission.start(s.reservationId(), Requests.of(s));
      if (admitted.isLeft()) {
        return Optional.of(admitted.getLeft());
      }
      Work work = new Work(run, admitted.get(), blocks.get(), runId);
      byTicket.put(work.ticket(), work);
      byRun.put(run, work);
      registry.add(run);
    }
    return Optional.empty();
  }

  /** Returns dropped runs to their entries and executes the runs that have a slot. */
  void pump() {
    List<Work> ready = new ArrayList<>();
    synchronized (lock) {
      for (Dropped d : admission.sweep()) {
        drop(d);
      }
      for (Optional<Ticket> t = admission.activateNext();
          t.isPresent();
          t = admission.activateNext()) {
        Work w = byTicket.get(t.get());
        if (w == null) {
          throw new IllegalStateException("a ticket was admitted without its run");
        }
        ready.add(w);
      }
    }
    ready.forEach(this::submit);
  }

  /** Ends a run on behalf of its caller. A run that still waits has certainly not run. */
  void cancel(Run run) {
    Work work;
    synchronized (lock) {
      work = byRun.get(run);
      if (work == null || !run.cancel()) {
        return;
      }
      if (admission.withdraw(work.ticket())) {
        forget(work);
        run.fail(ErrorKind.CANCELLED, Outcome.NOT_RUN, "cancelled before it ran");
        return;
      }
    }
    execution.cancel(work);
    run.fail(ErrorKind.CANCELLED, Outcome.UNKNOWN, "cancelled while it ran");
  }

  /**
   * Reports a crash of the engine to all runs that were in flight at this incarnation. A second
   * report of the same crash finds none.
   */
  void crashed(String incarnation) {
    synchronized (lock) {
      List<Run> hit = registry.inFlight(incarnation);
      if (hit.isEmpty()) {
        return;
      }
      LOG.warn("engine incarnation {} crashed with {} runs in flight", incarnation, hit.size());
      admission.onCrash(hit.stream().map(r -> r.start().digest()).toList());
      hit.forEach(r -> r.fail(ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN, "the engine crashed"));
    }
  }

  private void drop(Dropped d) {
    Work w = byTicket.get(d.ticket());
    if (w != null) {
      forget(w);
      metrics.refused(d.reason().kind());
      w.run().refuse(d.reason());
    }
  }

  private void submit(Work work) {
    try {
      pool.execute(() -> drive(work));
    } catch (RejectedExecutionException e) {
      work.run().refuse(Failure.of(ErrorKind.OVERLOADED, "no thread is free for the run"));
      finish(work);
    }
  }

  private void drive(Work work) {
    Start s = work.run().start();
    LogContext.run(s.requestId(), s.organisation(), () -> execute(work));
  }

  private void execute(Work work) {
    try {
      execution.execute(work, this::crashed);
    } catch (RuntimeException e) {
      LOG.error("run failed", e);
      work.run().fail(ErrorKind.INTERNAL, Outcome.UNKNOWN, "internal error");
    } finally {
      finish(work);
    }
    pump();
    if (work.run().isAnswered()) {
      execution.export(work);
    }
  }

  private void finish(Work work) {
    synchronized (lock) {
      forget(work);
      admission.onFinished(work.ticket(), work.run().isAnswered());
    }
    metrics.ended(work.run().isAnswered() ? "answered" : "failed");
  }

  private void forget(Work work) {
    byTicket.remove(work.ticket());
    byRun.remove(work.run());
  }
}

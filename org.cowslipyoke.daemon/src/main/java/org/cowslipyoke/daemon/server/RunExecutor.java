package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.admission.PriorityClass;
import org.cowslipyoke.admission.ServerAdmission;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message.Start;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.ModelEngine.Generation;
import org.cowslipyoke.platform.ModelEngine.State;
import org.cowslipyoke.platform.ModelEngine.StreamEnd;
import org.cowslipyoke.util.Clock;

/** Executes runs at the engine. */
final class RunExecutor {

  private static final Logger LOG = LogManager.getLogger(RunExecutor.class);

  /** Number of times a broken stream is resumed before the run fails. */
  private static final int MAX_RESUMES = 5;

  /**
   * Failed reads of the engine's state after a broken stream before the engine counts as crashed.
   */
  private static final int STATE_READS = 2;

  /** Pause after a failed read, in nanoseconds. */
  private static final long STATE_PAUSE_NS = 100_000_000;

  private final Clock clock;
  private final ModelEngine engine;
  private final ServerAdmission admission;
  private final ServerMetrics metrics;
  private final BlockExporter exporter;

  RunExecutor(
      Clock clock,
      ModelEngine engine,
      ServerAdmission admission,
      ServerMetrics metrics,
      BlockExporter exporter) {
    this.clock = clock;
    this.engine = engine;
    this.admission = admission;
    this.metrics = metrics;
    this.exporter = exporter;
  }

  /**
   * Executes a run that has a slot; blocks until the run has ended.
   *
   * @param onCrash called with the incarnation of a crashed engine
   */
  void execute(ScheduledRun work, Consumer<String> onCrash) {
    Run run = work.run();
    final int fetched = work.blocks().awaitPrefix();
    Either<Failure, State> read = engine.state();
    if (read.isLeft()) {
      run.refuse(Failure.of(ErrorKind.NO_SERVER, "the engine is unreachable"));
      return;
    }
    State state = read.get();
    Optional<Failure> refusal = admission.checkSubmission(work.ticket(), state);
    if (refusal.isPresent()) {
      run.refuse(refusal.get());
      return;
    }
    if (run.isEnded() || run.isCancelled()) {
      run.fail(ErrorKind.CANCELLED, Outcome.NOT_RUN, "the run was cancelled before it started");
      return;
    }
    run.submitted(state.incarnation());
    TokenRelay relay =
        new TokenRelay(work, admission, metrics, clock, state.weightVersion(), fetched);
    Either<Failure, StreamEnd> result =
        engine.generate(generation(work, state.weightVersion()), relay);
    if (result.isLeft() && !relay.hasStarted() && isNotRun(result.getLeft())) {
      run.refuse(result.getLeft());
      LOG.info("engine refused the run, kind={}", result.getLeft().kind());
      return;
    }
    for (int i = 0; i < MAX_RESUMES && mayResume(run, relay, result); i++) {
      if (isCrashed(state.incarnation())) {
        onCrash.accept(state.incarnation());
        return;
      }
      run.clearGap();
      result = engine.resume(work.runId(), run.nextOffset(), relay);
    }
    finish(work, relay, result);
  }

  /** Cancels a run at the engine; returns whether the engine confirmed it. */
  boolean cancel(ScheduledRun work) {
    return engine.cancel(work.runId()).getOrElse(false);
  }

  /**
   * Queues the full blocks of prompt and output for export, if the engine still has the run's
   * weight version. After a weight change or a restart the engine's blocks are not those of the
   * run.
   */
  void export(ScheduledRun work) {
    Start s = work.run().start();
    String version = work.ticket().weightVersion();
    Either<Failure, State> state = engine.state();
    if (state.isLeft() || !state.get().weightVersion().equals(version)) {
      return;
    }
    exporter.enqueueMissing(
        s.organisation(),
        BlockChain.keys(
            s.organisation(), s.model(), version, s.adapter(), work.run().promptAndOutput()),
        PriorityClass.of(s.priority()) == PriorityClass.OVERNIGHT);
  }

  private static Generation generation(ScheduledRun work, String weightVersion) {
    Start s = work.run().start();
    return new Generation(
        work.runId(),
        s.model(),
        s.adapter(),
        s.prompt(),
        s.generatedPrefix(),
        s.offset(),
        BlockChain.keys(s.organisation(), s.model(), weightVersion, s.adapter(), s.prompt()),
        s.maxTokens(),
        PriorityClass.of(s.priority()) == PriorityClass.OVERNIGHT ? 0 : 1);
  }

  /**
   * Returns whether the engine reported that it did not run the request, or nothing was sent to it.
   */
  private static boolean isNotRun(Failure f) {
    return f.outcome() == Outcome.NOT_RUN;
  }

  private static boolean mayResume(Run run, TokenRelay relay, Either<Failure, StreamEnd> result) {
    if (result.isRight() || run.isEnded() || run.isCancelled() || relay.isWrongVersion()) {
      return false;
    }
    return switch (result.getLeft().kind()) {
      case INCOMPLETE, OUTCOME_UNKNOWN, NO_SERVER -> true;
      default -> run.hasGap();
    };
  }

  /** Returns whether the incarnation has changed or the engine's state cannot be read. */
  private boolean isCrashed(String incarnation) {
    for (int i = 0; i < STATE_READS; i++) {
      Either<Failure, State> state = engine.state();
      if (state.isRight()) {
        return !state.get().incarnation().equals(incarnation);
      }
      LockSupport.parkNanos(STATE_PAUSE_NS);
    }
    return true;
  }

  private void finish(ScheduledRun work, TokenRelay relay, Either<Failure, StreamEnd> result) {
    Run run = work.run();
    if (relay.isWrongVersion()) {
      refuseWrongVersion(work);
    } else if (run.isCancelled()) {
      boolean dropped = cancel(work);
      LOG.info("run cancelled, tokens={} confirmed={}", run.nextOffset(), dropped);
      run.fail(ErrorKind.CANCELLED, Outcome.UNKNOWN, "the run was cancelled while it was running");
    } else if (result.isRight()) {
      boolean whole = run.end(result.get());
      LOG.info("run ended, tokens={} complete={}", run.nextOffset(), whole);
    } else {
      Failure f = result.getLeft();
      boolean stated = f.outcome() == Outcome.RUN;
      boolean ended =
          run.fail(
              stated ? f.kind() : ErrorKind.INCOMPLETE,
              stated ? Outcome.RUN : Outcome.UNKNOWN,
              f.message());
      if (ended) {
        LOG.warn("run failed, tokens={} kind={}", run.nextOffset(), f.kind());
        boolean dropped = cancel(work);
        LOG.debug("failed run cancelled at the engine, confirmed={}", dropped);
      }
    }
  }

  private void refuseWrongVersion(ScheduledRun work) {
    if (cancel(work)) {
      work.run().refuse(Failure.of(ErrorKind.WRONG_VERSION, "weights changed during submission"));
    } else {
      work.run().fail(ErrorKind.INCOMPLETE, Outcome.UNKNOWN, "weights changed during submission");
    }
  }
}

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

/** Executes one run at the engine; blocks until its end. */
final class EngineExecution {

  private static final Logger LOG = LogManager.getLogger(EngineExecution.class);

  /** Resumes of a broken stream before the run is given up. */
  private static final int MAX_RESUMES = 5;

  /** Reads of the engine's state after a broken stream before it counts as unhealthy. */
  private static final int STATE_READS = 2;

  /** Pause between two such reads, in nanoseconds. */
  private static final long STATE_PAUSE_NS = 100_000_000;

  private final Clock clock;
  private final ModelEngine engine;
  private final ServerAdmission admission;
  private final ServerMetrics metrics;
  private final BlockExporter exporter;

  EngineExecution(
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
   * Executes a run that has a slot.
   *
   * @param crashed told of the incarnation of a crashed engine
   */
  void execute(Work work, Consumer<String> crashed) {
    Run run = work.run();
    final int fetched = work.blocks().await();
    Either<Failure, State> read = engine.state();
    if (read.isLeft()) {
      run.refuse(Failure.of(ErrorKind.NO_SERVER, "the engine is not reachable"));
      return;
    }
    State state = read.get();
    Optional<Failure> refusal = admission.checkSubmission(work.ticket(), state);
    if (refusal.isPresent()) {
      run.refuse(refusal.get());
      return;
    }
    if (run.isEnded() || run.isCancelled()) {
      run.fail(ErrorKind.CANCELLED, Outcome.NOT_RUN, "cancelled before it ran");
      return;
    }
    run.submitted(state.incarnation());
    TokenRelay relay =
        new TokenRelay(work, admission, metrics, clock, state.weightVersion(), fetched);
    Either<Failure, StreamEnd> result =
        engine.generate(generation(work, state.weightVersion()), relay);
    if (result.isLeft() && !relay.hasBegun() && isNotRun(result.getLeft())) {
      run.refuse(result.getLeft());
      LOG.info("engine refused the run: {}", result.getLeft().kind());
      return;
    }
    for (int i = 0; i < MAX_RESUMES && mayResume(run, relay, result); i++) {
      if (isCrashed(state.incarnation())) {
        crashed.accept(state.incarnation());
        return;
      }
      run.unbreak();
      result = engine.resume(work.runId(), run.produced(), relay);
    }
    conclude(work, relay, result);
  }

  /** Asks the engine to drop a run. */
  boolean cancel(Work work) {
    return engine.cancel(work.runId()).getOrElse(false);
  }

  /**
   * Hands the whole blocks of prompt and answer over for export. After a change of weights or a
   * restart the engine's blocks are not those of the run.
   */
  void export(Work work) {
    Start s = work.run().start();
    String version = work.ticket().weightVersion();
    Either<Failure, State> state = engine.state();
    if (state.isLeft() || !state.get().weightVersion().equals(version)) {
      return;
    }
    exporter.offer(
        s.organisation(),
        BlockChain.keys(s.organisation(), s.model(), version, s.adapter(), work.run().wholeText()),
        PriorityClass.of(s.priority()) == PriorityClass.OVERNIGHT);
  }

  private static Generation generation(Work work, String weightVersion) {
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

  /** The engine states that it did not run the request, or no byte was sent to it. */
  private static boolean isNotRun(Failure f) {
    return f.outcome() == Outcome.NOT_RUN;
  }

  private static boolean mayResume(Run run, TokenRelay relay, Either<Failure, StreamEnd> result) {
    if (result.isRight() || run.isEnded() || run.isCancelled() || relay.isWrongVersion()) {
      return false;
    }
    return switch (result.getLeft().kind()) {
      case INCOMPLETE, OUTCOME_UNKNOWN, NO_SERVER -> true;
      default -> run.isBroken();
    };
  }

  /** The incarnation has changed, or the connection broke and the engine is unhealthy. */
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

  private void conclude(Work work, TokenRelay relay, Either<Failure, StreamEnd> result) {
    Run run = work.run();
    if (relay.isWrongVersion()) {
      dropWrongVersion(work);
    } else if (run.isCancelled()) {
      boolean dropped = cancel(work);
      LOG.info("run cancelled after {} tokens, dropped {}", run.produced(), dropped);
      run.fail(ErrorKind.CANCELLED, Outcome.UNKNOWN, "cancelled while it ran");
    } else if (result.isRight()) {
      boolean whole = run.end(result.get());
      LOG.info("run ended with {} tokens, whole {}", run.produced(), whole);
    } else {
      Failure f = result.getLeft();
      boolean stated = f.outcome() == Outcome.RUN;
      boolean ended =
          run.fail(
              stated ? f.kind() : ErrorKind.INCOMPLETE,
              stated ? Outcome.RUN : Outcome.UNKNOWN,
              f.message());
      if (ended) {
        LOG.warn("run failed after {} tokens: {}", run.produced(), f.kind());
        boolean dropped = cancel(work);
        LOG.debug("engine dropped the failed run: {}", dropped);
      }
    }
  }

  private void dropWrongVersion(Work work) {
    if (cancel(work)) {
      work.run().refuse(Failure.of(ErrorKind.WRONG_VERSION, "weights changed at the submission"));
    } else {
      work.run().fail(ErrorKind.INCOMPLETE, Outcome.UNKNOWN, "weights changed at the submission");
    }
  }
}

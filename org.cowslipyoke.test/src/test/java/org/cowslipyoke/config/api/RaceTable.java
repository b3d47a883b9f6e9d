package org.cowslipyoke.config.api;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;

/** Table whose transactions run the next scripted step, for races and lost answers. */
final class RaceTable implements TransactionalTable {

  private final TransactionalTable table;
  private final Deque<UnaryOperator<Supplier<Commit>>> steps = new ArrayDeque<>();
  private int largestValue;

  RaceTable(TransactionalTable table) {
    this.table = table;
  }

  /** Wraps the next transaction; the argument of the step runs the transaction. */
  RaceTable next(UnaryOperator<Supplier<Commit>> step) {
    steps.add(step);
    return this;
  }

  /** Runs another change just before the next transaction. */
  RaceTable before(Runnable other) {
    return next(
        commit ->
            () -> {
              other.run();
              return commit.get();
            });
  }

  /** Applies the next transaction, runs another change, and loses the answer. */
  RaceTable lost(Runnable after) {
    return next(
        commit ->
            () -> {
              Commit applied = commit.get();
              after.run();
              return new Commit(CommitStatus.UNKNOWN, applied.conflicts());
            });
  }

  /** Loses the next transaction before it takes effect, and its answer. */
  RaceTable dropped() {
    return next(commit -> () -> new Commit(CommitStatus.UNKNOWN, List.of()));
  }

  /** Returns the size in bytes of the largest value written. */
  int largestValue() {
    return largestValue;
  }

  @Override
  public Either<Failure, Optional<Row>> read(String key) {
    return table.read(key);
  }

  @Override
  public Either<Failure, List<Row>> scan(String prefix, int limit) {
    return table.scan(prefix, limit);
  }

  @Override
  public Commit commit(List<Write> writes) {
    for (Write w : writes) {
      byte[] v = w.value().orElse("").getBytes(StandardCharsets.UTF_8);
      largestValue = Math.max(largestValue, v.length);
    }
    UnaryOperator<Supplier<Commit>> step = steps.poll();
    Supplier<Commit> commit = () -> table.commit(writes);
    return step == null ? commit.get() : step.apply(commit).get();
  }
}

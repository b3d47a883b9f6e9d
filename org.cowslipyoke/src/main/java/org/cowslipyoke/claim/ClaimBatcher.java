package org.cowslipyoke.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * Combines claims that arrive within a few milliseconds into one transaction, because the table
 * serves only several hundred writes per second for all entries together.
 */
public final class ClaimBatcher {

  /** Time for which the first claim of a batch waits for others, in milliseconds. */
  public static final long MAX_DELAY_MS = 5;

  /** Largest number of rows in one transaction. */
  public static final int MAX_ROWS = 50;

  /** Largest number of undecided claims; bounds the memory used while the table is slow. */
  public static final int MAX_WAITING = 1_000;

  /** Schedules a short task to run after a delay. */
  @FunctionalInterface
  public interface Delay {
    /** Schedules the task. */
    void schedule(Runnable task, long delayMs);
  }

  private record Waiting(ClaimRequest request, CompletableFuture<ClaimDecision> decision) {}

  private final ClaimLedger ledger;
  private final Executor workers;
  private final Delay delay;
  private final Object lock = new Object();
  private List<Waiting> openBatch = new ArrayList<>();
  private Set<String> openRows = new HashSet<>();
  private int waiting;

  /**
   * Creates a batcher.
   *
   * @param workers runs the blocking calls to the table
   */
  public ClaimBatcher(ClaimLedger ledger, Executor workers, Delay delay) {
    this.ledger = ledger;
    this.workers = workers;
    this.delay = delay;
  }

  /**
   * Adds a claim to the open batch. If too many claims wait, the decision is a failure of kind
   * {@code STORE_UNAVAILABLE}.
   */
  public CompletableFuture<ClaimDecision> submit(ClaimRequest request) {
    Waiting w = new Waiting(request, new CompletableFuture<>());
    List<Waiting> full = List.of();
    boolean first = false;
    boolean duplicateRow = false;
    synchronized (lock) {
      if (waiting >= MAX_WAITING) {
        return CompletableFuture.completedFuture(unavailable());
      }
      waiting++;
      if (openRows.add(request.rowKey())) {
        openBatch.add(w);
        first = openBatch.size() == 1;
        full = openBatch.size() >= MAX_ROWS ? takeOpenBatch() : List.of();
      } else {
        // A transaction can't write a row twice, so this claim is committed by itself and finds the
        // row of the first one.
        duplicateRow = true;
      }
    }
    if (duplicateRow) {
      run(List.of(w), () -> claimOne(w));
    } else if (!full.isEmpty()) {
      commit(full);
    } else if (first) {
      delay.schedule(this::flush, MAX_DELAY_MS);
    }
    return w.decision();
  }

  private void flush() {
    List<Waiting> batch;
    synchronized (lock) {
      batch = takeOpenBatch();
    }
    if (!batch.isEmpty()) {
      commit(batch);
    }
  }

  private List<Waiting> takeOpenBatch() {
    List<Waiting> batch = openBatch;
    openBatch = new ArrayList<>();
    openRows = new HashSet<>();
    return batch;
  }

  private void commit(List<Waiting> batch) {
    if (batch.size() == 1) {
      run(batch, () -> claimOne(batch.get(0)));
    } else {
      run(batch, () -> claimBatch(batch));
    }
  }

  private void claimBatch(List<Waiting> batch) {
    Optional<List<ClaimDecision>> all =
        ledger.claimBatch(batch.stream().map(Waiting::request).toList());
    for (int i = 0; i < batch.size(); i++) {
      Waiting w = batch.get(i);
      if (all.isPresent()) {
        finish(w, all.get().get(i));
      } else {
        run(List.of(w), () -> claimOne(w));
      }
    }
  }

  private void claimOne(Waiting w) {
    finish(w, ledger.claim(w.request()));
  }

  /** Runs a blocking step on a worker; rejects its claims if it can't be run or throws. */
  private void run(List<Waiting> batch, Runnable step) {
    Runnable guarded =
        () -> {
          try {
            step.run();
          } catch (RuntimeException e) {
            batch.forEach(w -> finish(w, unavailable()));
            throw e;
          }
        };
    try {
      workers.execute(guarded);
    } catch (RejectedExecutionException e) {
      batch.forEach(w -> finish(w, unavailable()));
    }
  }

  private void finish(Waiting w, ClaimDecision decision) {
    if (w.decision().complete(decision)) {
      synchronized (lock) {
        waiting--;
      }
    }
  }

  private static ClaimDecision unavailable() {
    return new ClaimDecision.Rejected(
        new Failure(ErrorKind.STORE_UNAVAILABLE, "too many claims wait for the table", 1_000));
  }
}

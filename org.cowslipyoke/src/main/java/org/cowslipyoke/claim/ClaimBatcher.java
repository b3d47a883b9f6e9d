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
 * Puts claims that arrive together into one transaction, because the table serves several hundred
 * writes a second for all entries.
 */
public final class ClaimBatcher {

  /** Milliseconds that the first claim of a batch waits for others. */
  public static final long MAX_DELAY_MS = 5;

  /** Rows in one transaction. */
  public static final int MAX_ROWS = 50;

  /** Claims that wait at most, so that a slow table can't fill the memory. */
  public static final int MAX_WAITING = 1_000;

  /** Runs a short task after a delay. */
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
  private List<Waiting> open = new ArrayList<>();
  private Set<String> openRows = new HashSet<>();
  private int waiting;

  /**
   * Creates a batcher.
   *
   * @param workers runs the blocking calls of the table
   */
  public ClaimBatcher(ClaimLedger ledger, Executor workers, Delay delay) {
    this.ledger = ledger;
    this.workers = workers;
    this.delay = delay;
  }

  /** Adds a claim to the open batch. */
  public CompletableFuture<ClaimDecision> submit(ClaimRequest request) {
    Waiting w = new Waiting(request, new CompletableFuture<>());
    List<Waiting> full = List.of();
    boolean first = false;
    boolean alone = false;
    synchronized (lock) {
      if (waiting >= MAX_WAITING) {
        return CompletableFuture.completedFuture(unavailable());
      }
      waiting++;
      if (openRows.add(request.rowKey())) {
        open.add(w);
        first = open.size() == 1;
        full = open.size() >= MAX_ROWS ? takeOpen() : List.of();
      } else {
        // A transaction can't write a row twice; the second claim finds the row of the first.
        alone = true;
      }
    }
    if (alone) {
      run(List.of(w), () -> decideAlone(w));
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
      batch = takeOpen();
    }
    if (!batch.isEmpty()) {
      commit(batch);
    }
  }

  private List<Waiting> takeOpen() {
    List<Waiting> batch = open;
    open = new ArrayList<>();
    openRows = new HashSet<>();
    return batch;
  }

  private void commit(List<Waiting> batch) {
    if (batch.size() == 1) {
      run(batch, () -> decideAlone(batch.get(0)));
    } else {
      run(batch, () -> decideTogether(batch));
    }
  }

  private void decideTogether(List<Waiting> batch) {
    Optional<List<ClaimDecision>> all =
        ledger.claimTogether(batch.stream().map(Waiting::request).toList());
    for (int i = 0; i < batch.size(); i++) {
      Waiting w = batch.get(i);
      if (all.isPresent()) {
        finish(w, all.get().get(i));
      } else {
        run(List.of(w), () -> decideAlone(w));
      }
    }
  }

  private void decideAlone(Waiting w) {
    finish(w, ledger.claim(w.request()));
  }

  /** Runs a blocking step; its claims are refused if it can't run or fails. */
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

package org.cowslipyoke.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.cowslipyoke.util.Clock;

/**
 * Writes records of streams to the table, many in one transaction, and removes them after the time
 * in which callers take streams up. Thread-safe; {@link #flush} is called by one thread at a time.
 */
public final class StreamRecorder {

  /** Records in one transaction; with as many removals below the table's limit. */
  private static final int MAX_BATCH = 45;

  /** Maximum number of records that wait to be written. */
  private static final int MAX_WAITING = 20_000;

  /**
   * Time for which a record is tried to be written, in milliseconds; callers give a stream up
   * before its first event after two seconds.
   */
  private static final long GIVE_UP_MS = 2_000;

  /** The same for a record that is written again after the table's return. */
  private static final long GIVE_UP_AGAIN_MS = 15_000;

  /** Pause after a failed write, in milliseconds. */
  private static final long RETRY_MS = 100;

  /** Interval of probing the table while writes fail and none waits, in milliseconds. */
  private static final long PROBE_MS = 1_000;

  /** Request id of the record that probes write; no stream has it. */
  private static final String PROBE_ID = "probe";

  private record Waiting(StreamRecord record, long endMs, CompletableFuture<Boolean> result) {}

  private record Written(String key, long removeMs) {}

  private final Clock clock;
  private final StreamTable table;
  private final LongSupplier keepMs;
  private final Runnable requestFlush;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Deque<Waiting> waitingAgain = new ArrayDeque<>();
  private final Deque<Written> written = new ArrayDeque<>();
  private boolean failing;
  private long notBeforeMs = Long.MIN_VALUE;
  private long probeMs = Long.MIN_VALUE;
  private long recorded;
  private long failed;

  /**
   * Creates a recorder.
   *
   * @param keepMs time for which records are kept, in milliseconds
   * @param requestFlush makes another thread call {@link #flush} soon; must not block
   */
  public StreamRecorder(
      Clock clock, StreamTable table, LongSupplier keepMs, Runnable requestFlush) {
    this.clock = clock;
    this.table = table;
    this.keepMs = keepMs;
    this.requestFlush = requestFlush;
  }

  /**
   * Submits a record.
   *
   * @return completes with true when the record is in the table, with false if it was not written
   *     in time
   */
  CompletableFuture<Boolean> record(StreamRecord r) {
    return submit(r, GIVE_UP_MS, waiting);
  }

  /** Submits a record that a table which has returned from an older copy may lack. */
  void recordAgain(StreamRecord r) {
    var unused = submit(r, GIVE_UP_AGAIN_MS, waitingAgain);
  }

  private CompletableFuture<Boolean> submit(StreamRecord r, long giveUpMs, Deque<Waiting> queue) {
    Waiting w = new Waiting(r, clock.nowMs() + giveUpMs, new CompletableFuture<>());
    synchronized (this) {
      if (queue.size() >= MAX_WAITING) {
        failed++;
        return CompletableFuture.completedFuture(false);
      }
      queue.add(w);
    }
    requestFlush.run();
    return w.result();
  }

  /** Returns whether the last write has succeeded, so that a record is likely written in time. */
  synchronized boolean isAvailable() {
    return !failing;
  }

  /** Writes a record of no stream if writes have failed and none waits. Called periodically. */
  public void probe() {
    synchronized (this) {
      if (!failing || !waiting.isEmpty() || clock.nowMs() < probeMs) {
        return;
      }
      probeMs = clock.nowMs() + PROBE_MS;
    }
    var unused = record(new StreamRecord("", PROBE_ID, 0, "", table.latestMs(), table.era()));
  }

  /** Returns the number of records written. */
  public synchronized long recorded() {
    return recorded;
  }

  /** Returns the number of records that were not written in time. */
  public synchronized long failed() {
    return failed;
  }

  /**
   * Writes the records that wait, until none is left or a write fails.
   *
   * @return whether records are left, so that another call is due after a delay
   */
  public boolean flush() {
    while (true) {
      expire();
      List<Waiting> batch = take();
      if (batch.isEmpty()) {
        return hasWaiting();
      }
      List<Written> outdated = outdated();
      boolean done = false;
      try {
        done = write(batch, outdated);
      } finally {
        if (done) {
          confirm(batch);
        } else {
          putBack(batch, outdated);
        }
      }
    }
  }

  private boolean write(List<Waiting> batch, List<Written> outdated) {
    Map<String, StreamRecord> records = new LinkedHashMap<>();
    batch.forEach(w -> records.put(w.record().key(), w.record()));
    List<String> removed =
        outdated.stream().map(Written::key).filter(k -> !records.containsKey(k)).toList();
    return table.write(List.copyOf(records.values()), removed).isRight();
  }

  private synchronized boolean hasWaiting() {
    return !waiting.isEmpty() || !waitingAgain.isEmpty();
  }

  /** Gives up the records that have waited too long. */
  private void expire() {
    List<Waiting> late = new ArrayList<>();
    synchronized (this) {
      long now = clock.nowMs();
      for (Deque<Waiting> queue : List.of(waiting, waitingAgain)) {
        queue.removeIf(w -> now >= w.endMs() && late.add(w));
      }
      failed += late.size();
    }
    late.forEach(w -> w.result().complete(false));
  }

  /** Returns the next records to write, none during the pause after a failure. */
  private synchronized List<Waiting> take() {
    List<Waiting> batch = new ArrayList<>();
    if (clock.nowMs() < notBeforeMs) {
      return batch;
    }
    for (Deque<Waiting> queue : List.of(waiting, waitingAgain)) {
      while (batch.size() < MAX_BATCH && !queue.isEmpty()) {
        batch.add(queue.remove());
      }
    }
    return batch;
  }

  private synchronized List<Written> outdated() {
    List<Written> due = new ArrayList<>();
    while (due.size() < MAX_BATCH
        && !written.isEmpty()
        && written.peek().removeMs() <= clock.nowMs()) {
      due.add(written.remove());
    }
    return due;
  }

  private void confirm(List<Waiting> batch) {
    synchronized (this) {
      failing = false;
      recorded += batch.size();
      long removeMs = clock.nowMs() + keepMs.getAsLong();
      batch.forEach(w -> written.add(new Written(w.record().key(), removeMs)));
    }
    batch.forEach(w -> w.result().complete(true));
  }

  private synchronized void putBack(List<Waiting> batch, List<Written> outdated) {
    failing = true;
    notBeforeMs = clock.nowMs() + RETRY_MS;
    for (int i = outdated.size() - 1; i >= 0; i--) {
      written.addFirst(outdated.get(i));
    }
    for (int i = batch.size() - 1; i >= 0; i--) {
      waiting.addFirst(batch.get(i));
    }
  }
}

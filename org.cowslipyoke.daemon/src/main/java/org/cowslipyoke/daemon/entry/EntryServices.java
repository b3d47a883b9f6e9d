package org.cowslipyoke.daemon.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.cowslipyoke.claim.ClaimBatcher;
import org.cowslipyoke.claim.ClaimLedger;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.suspect.SuspectListWriter;

/** Components that all requests of an entry share. */
record EntryServices(
    DaemonContext context,
    ClaimLedger claims,
    ClaimBatcher batcher,
    SuspectListWriter suspects,
    EntryMetrics metrics) {

  /** Runs a non-blocking task after a delay; does nothing if the scheduler is shut down. */
  void schedule(Runnable task, long delayMs) {
    try {
      var unused = context.scheduler().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      return;
    }
  }

  /** Runs a blocking task on the workers; returns false if they reject it. */
  boolean executeBlocking(Runnable task) {
    try {
      context.workers().execute(task);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /** Writes the suspects to the table asynchronously; the periodic flush retries a failed write. */
  void flushSuspects() {
    executeBlocking(suspects::flush);
  }
}

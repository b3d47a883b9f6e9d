package org.cowslipyoke.daemon.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.cowslipyoke.claim.ClaimBatcher;
import org.cowslipyoke.claim.ClaimLedger;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.suspect.SuspectListWriter;

/** What the requests of one entry share. */
record EntryServices(
    DaemonContext context,
    ClaimLedger claims,
    ClaimBatcher batcher,
    SuspectListWriter suspects,
    EntryMetrics metrics) {

  /** Runs a short task after a delay; does nothing in a shutdown. */
  void later(Runnable task, long delayMs) {
    try {
      var unused = context.scheduler().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      return;
    }
  }

  /** Runs a blocking task on the workers; returns false if none is free. */
  boolean block(Runnable task) {
    try {
      context.workers().execute(task);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /** Writes suspects to the table soon; the periodic flush repeats it if it fails. */
  void flushSuspects() {
    block(suspects::flush);
  }
}

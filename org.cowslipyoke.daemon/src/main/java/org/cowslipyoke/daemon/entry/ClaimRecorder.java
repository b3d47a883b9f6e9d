package org.cowslipyoke.daemon.entry;

import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.claim.ClaimLedger.RecordStatus;

/** Writes the end of a claim and repeats it while the table is away. */
final class ClaimRecorder {

  /** Milliseconds for which the record is repeated; section 15, item 5 of the design. */
  static final long MAX_MS = 60_000;

  private static final long INTERVAL_MS = 1_000;
  private static final Logger LOG = LogManager.getLogger(ClaimRecorder.class);

  private final EntryServices services;
  private final Supplier<RecordStatus> write;
  private final Runnable done;
  private final long endMs;

  private ClaimRecorder(EntryServices services, Supplier<RecordStatus> write, Runnable done) {
    this.services = services;
    this.write = write;
    this.done = done;
    this.endMs = services.context().clock().nowMs() + MAX_MS;
  }

  /**
   * Starts to write.
   *
   * @param write one blocking try
   * @param done told once when the record is written or given up
   */
  static void run(EntryServices services, Supplier<RecordStatus> write, Runnable done) {
    new ClaimRecorder(services, write, done).next();
  }

  private void next() {
    if (!services.block(this::attempt)) {
      retry();
    }
  }

  private void attempt() {
    RecordStatus status = write.get();
    if (status == RecordStatus.RETRY) {
      retry();
      return;
    }
    if (status == RecordStatus.LOST) {
      LOG.warn("the row of a claim belongs to another request or has expired");
    }
    done.run();
  }

  private void retry() {
    if (services.context().clock().nowMs() >= endMs) {
      LOG.error("the end of a claim was not recorded within {} ms", MAX_MS);
      done.run();
    } else {
      services.later(this::next, INTERVAL_MS);
    }
  }
}

package org.cowslipyoke.daemon.entry;

import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.claim.ClaimLedger.RecordStatus;

/**
 * Writes the result of a claimed request to the table and retries while the table is unavailable.
 */
final class ClaimWriter {

  /**
   * Time for which a write is retried, in milliseconds. The caller has its response already; in the
   * meantime a retry of the request is refused with IN_PROGRESS or OUTCOME_UNKNOWN, both of which
   * are true.
   */
  static final long RETRY_TIMEOUT_MS = 60_000;

  private static final long RETRY_INTERVAL_MS = 1_000;
  private static final Logger LOG = LogManager.getLogger(ClaimWriter.class);

  private final EntryServices services;
  private final Supplier<RecordStatus> write;
  private final Runnable onDone;
  private final long endMs;

  private ClaimWriter(EntryServices services, Supplier<RecordStatus> write, Runnable onDone) {
    this.services = services;
    this.write = write;
    this.onDone = onDone;
    this.endMs = services.context().clock().nowMs() + RETRY_TIMEOUT_MS;
  }

  /**
   * Starts to write.
   *
   * @param write one blocking attempt
   * @param onDone called once, when the result is written or the retries have ended
   */
  static void start(EntryServices services, Supplier<RecordStatus> write, Runnable onDone) {
    new ClaimWriter(services, write, onDone).submit();
  }

  private void submit() {
    if (!services.executeBlocking(this::attempt)) {
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
      LOG.warn("claim result not recorded: the row belongs to another request or has expired");
    }
    onDone.run();
  }

  private void retry() {
    if (services.context().clock().nowMs() >= endMs) {
      LOG.error("claim result not recorded within {} ms; retries ended", RETRY_TIMEOUT_MS);
      onDone.run();
    } else {
      services.schedule(this::submit, RETRY_INTERVAL_MS);
    }
  }
}

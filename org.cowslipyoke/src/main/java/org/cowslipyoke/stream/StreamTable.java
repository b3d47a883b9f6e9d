package org.cowslipyoke.stream;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.errors.Failure;

/**
 * The rows about streams in the platform's table. Every call blocks for at most the deadline of the
 * client and fails with {@code STORE_UNAVAILABLE} or {@code OUTCOME_UNKNOWN}.
 */
public interface StreamTable {

  /**
   * A baseline and the version of its row.
   *
   * @param rowVersion version of the row, to replace it
   */
  record BaselineRow(StreamBaseline baseline, long rowVersion) {}

  /**
   * The baselines of all services.
   *
   * @param nowMs time of the table's clock at the read, in milliseconds
   * @param asOfMs lower bound of that clock at which the read was sent, in milliseconds
   * @param era era of the table at the read
   */
  record Baselines(Map<String, BaselineRow> rows, long nowMs, long asOfMs, long era) {}

  /** Reads the baselines of all services. */
  Either<Failure, Baselines> readBaselines();

  /**
   * Replaces the baseline of a service if its row still has a version; reads tell whether it did.
   *
   * @param rowVersion 0 if there must be no row
   */
  void replaceBaseline(String service, long rowVersion, StreamBaseline next);

  /** Reads the records of a request's attempts. */
  Either<Failure, List<StreamRecord>> records(String request);

  /** Writes records and removes others by key; all or none. At most 100 in all. */
  Either<Failure, Boolean> write(List<StreamRecord> records, List<String> removedKeys);

  /**
   * Reads keys of records from before a time of the table's clock, at most some hundred rows from a
   * key on.
   *
   * @param from first key, empty for the start
   */
  Either<Failure, ExpiredKeys> expired(String from, long beforeMs);

  /**
   * Keys of outdated records.
   *
   * @param next first key of the next page, empty if this is the last one
   */
  record ExpiredKeys(List<String> keys, String next) {}

  /** Returns the newest era of the table that its responses have stated. */
  long era();

  /** Returns a lower bound of the table's clock in milliseconds, negative if it is not known. */
  long earliestMs();

  /** Returns an upper bound of the table's clock in milliseconds. */
  long latestMs();
}

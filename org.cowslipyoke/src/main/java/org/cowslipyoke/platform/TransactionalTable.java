package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;

/**
 * The platform's transactional table: rows with a version, read one by one or by prefix, and
 * conditional transactions over several rows.
 *
 * <p>Every call blocks for at most the deadline of the client and returns a failure of kind {@code
 * STORE_UNAVAILABLE} if the table can't be reached.
 */
public interface TransactionalTable {

  /**
   * A row.
   *
   * @param key key, at most 512 bytes
   * @param version version of the row, starts at 1 and grows by 1 with each write
   * @param value JSON text, at most 256 KiB
   */
  record Row(String key, long version, String value) {}

  /**
   * One conditional write.
   *
   * @param expectedVersion version that the row must have, 0 if it must not exist
   * @param value new JSON text, empty to delete the row
   * @param ttlMs lifetime of the row in milliseconds, 0 for no expiry
   */
  record Write(String key, long expectedVersion, Optional<String> value, long ttlMs) {

    /** Returns a write without expiry. */
    public static Write put(String key, long expectedVersion, String value) {
      return new Write(key, expectedVersion, Optional.of(value), 0);
    }
  }

  /** Result of a transaction. */
  enum CommitStatus {
    /** All writes were applied. */
    COMMITTED,
    /** No write was applied because a condition failed. */
    CONFLICT,
    /** No write was applied because the table could not be reached. */
    NOT_APPLIED,
    /**
     * The response was lost, so the writes may have been applied. The caller must read them back.
     */
    UNKNOWN
  }

  /**
   * Result of a transaction with the keys whose condition failed.
   *
   * @param conflicts keys with another version than expected, empty unless {@code CONFLICT}
   */
  record Commit(CommitStatus status, List<String> conflicts) {}

  /** Reads one row; the inner option is empty if the row does not exist. */
  Either<Failure, Optional<Row>> read(String key);

  /** Reads up to {@code limit} rows whose keys start with the prefix, in key order. */
  Either<Failure, List<Row>> scan(String prefix, int limit);

  /** Applies all writes or none. */
  Commit commit(List<Write> writes);

  /**
   * Returns the newest era of the table that its responses have stated, 0 if they state none. The
   * era rises each time the table returns from an older copy: the latest writes are gone then, and
   * versions that were given to them are given again.
   */
  default long era() {
    return 0;
  }
}

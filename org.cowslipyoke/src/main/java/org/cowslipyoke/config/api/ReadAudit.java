package org.cowslipyoke.config.api;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.internal.ConfigurationStore;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;

/** Reads the accepted changes of all sections, newest first. */
public final class ReadAudit {

  /** Changes read if no limit is given. */
  public static final int DEFAULT_LIMIT = 20;

  /** Largest accepted limit; bounds the load on the table. */
  public static final int MAX_LIMIT = 1_000;

  private final ConfigurationStore store;
  private int limit = DEFAULT_LIMIT;

  private ReadAudit(TransactionalTable table) {
    this.store = new ConfigurationStore(table);
  }

  /** Returns the command over a table. */
  public static ReadAudit from(TransactionalTable table) {
    return new ReadAudit(table);
  }

  /** Sets the number of changes to read, at most {@link #MAX_LIMIT}. */
  public ReadAudit limit(int count) {
    this.limit = Math.min(count, MAX_LIMIT);
    return this;
  }

  /** Reads the changes. */
  public Either<Failure, List<AuditEntry>> call() {
    return store
        .head()
        .flatMap(h -> store.audit(Math.max(1, h.version() - limit + 1), h.version()));
  }
}

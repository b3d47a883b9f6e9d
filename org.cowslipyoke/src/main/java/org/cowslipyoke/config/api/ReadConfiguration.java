package org.cowslipyoke.config.api;

import io.vavr.control.Either;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.internal.ConfigurationStore;
import org.cowslipyoke.config.internal.Rows;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;

/** Reads the whole document, or only its version, from the table. */
public final class ReadConfiguration {

  private final ConfigurationStore store;

  private ReadConfiguration(TransactionalTable table) {
    this.store = new ConfigurationStore(table);
  }

  /** Returns the command over a table. */
  public static ReadConfiguration from(TransactionalTable table) {
    return new ReadConfiguration(table);
  }

  /** Reads the head version only, 0 if nothing has been written; costs one read of a small row. */
  public Either<Failure, Long> headVersion() {
    return store.head().map(Rows.Head::version);
  }

  /** Reads all sections at one head version. */
  public Either<Failure, ConfigurationDocument> call() {
    return store.state().map(ConfigurationStore.State::document);
  }
}

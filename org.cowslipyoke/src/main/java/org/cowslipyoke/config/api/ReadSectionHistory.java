package org.cowslipyoke.config.api;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;

/**
 * Shows the accepted changes of one section, newest first, out of the last {@link
 * ReadAudit#MAX_LIMIT} changes of the document.
 */
public final class ReadSectionHistory {

  private final TransactionalTable table;
  private final Section section;
  private int limit = ReadAudit.DEFAULT_LIMIT;

  private ReadSectionHistory(TransactionalTable table, Section section) {
    this.table = table;
    this.section = section;
  }

  /** Returns the command for a section. */
  public static ReadSectionHistory of(TransactionalTable table, Section section) {
    return new ReadSectionHistory(table, section);
  }

  /** Sets the number of changes to show. */
  public ReadSectionHistory limit(int count) {
    this.limit = count;
    return this;
  }

  /** Reads the changes. */
  public Either<Failure, List<AuditEntry>> call() {
    return ReadAudit.from(table)
        .limit(ReadAudit.MAX_LIMIT)
        .call()
        .map(
            all ->
                all.stream()
                    .filter(e -> e.section().equals(section.wireName()))
                    .limit(limit)
                    .toList());
  }
}

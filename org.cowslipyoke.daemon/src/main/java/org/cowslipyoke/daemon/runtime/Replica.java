package org.cowslipyoke.daemon.runtime;

import io.vavr.control.Either;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.platform.TransactionalTable;

/** This process's copy of a replicated document. Its version never decreases. Thread-safe. */
interface Replica {

  /** Result of offering a document. */
  enum Acceptance {
    /** The document is now active. */
    ACCEPTED,
    /** The active version is at least as new. */
    STALE,
    /** The change applies to another version; the complete document is needed. */
    NEEDS_COMPLETE,
    /** The document is damaged or would decrease the version of a section. */
    REFUSED
  }

  /** Returns the name of the document in messages. */
  String name();

  /** Returns the active version, 0 if there is none. */
  long version();

  /** Activates a document or change if it is newer. */
  Acceptance accept(Document document);

  /**
   * Returns the change since a version, or the complete document if the change is not available; a
   * document of version 0 if there is nothing newer.
   */
  Document changesSince(long haveVersion);

  /** Reads the document from the table and activates it if it is newer. */
  Either<Failure, Acceptance> read(TransactionalTable table);
}

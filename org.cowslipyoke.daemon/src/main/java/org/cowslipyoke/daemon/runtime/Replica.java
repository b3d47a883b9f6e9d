package org.cowslipyoke.daemon.runtime;

import io.vavr.control.Either;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.platform.TransactionalTable;

/** This process's copy of a document that processes exchange. Versions only grow. Thread-safe. */
interface Replica {

  /** What became of a document that was offered. */
  enum Acceptance {
    /** The document is in force. */
    ACCEPTED,
    /** The version in force is as new. */
    STALE,
    /** The change applies to another version; the whole document is needed. */
    NEEDS_WHOLE,
    /** The document is damaged or takes a section back. */
    REFUSED
  }

  /** Returns the name in messages. */
  String name();

  /** Returns the version in force, 0 if there is none. */
  long version();

  /** Puts a document or change in force if it is newer. */
  Acceptance accept(Document document);

  /** Returns the change since a version, the whole document, or version 0 if nothing is newer. */
  Document since(long haveVersion);

  /** Reads the table and puts a newer version in force. */
  Either<Failure, Acceptance> read(TransactionalTable table);
}

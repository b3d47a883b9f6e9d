package org.cowslipyoke.config.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.internal.Rows.Head;
import org.cowslipyoke.config.internal.Rows.SectionRow;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.TransactionalTable.Row;
import org.cowslipyoke.util.Digests;

/** Consistent reads of the configuration rows. */
public final class ConfigurationStore {

  /** Reads of one state before giving up, because changes overtake every read. */
  private static final int MAX_READS = 8;

  /** Rows that one read of audit rows may return; keys with one prefix differ in one digit. */
  private static final int AUDIT_STEP = 10;

  private final TransactionalTable table;

  /** Creates a reader over the table. */
  public ConfigurationStore(TransactionalTable table) {
    this.table = table;
  }

  /**
   * A section as stored.
   *
   * @param rowVersion version of the section row, for the condition of a write
   * @param partVersions row version of each part
   */
  public record Stored(
      SectionRow row, long rowVersion, ObjectNode content, List<Long> partVersions) {}

  /**
   * All rows at one head version.
   *
   * @param headRowVersion version of the head row, 0 if it does not exist
   */
  public record State(Head head, long headRowVersion, Map<Section, Stored> sections) {

    /** Returns a section; empty if nobody has written it. */
    public Optional<Stored> section(Section section) {
      return Optional.ofNullable(sections.get(section));
    }

    /** Returns the document. */
    public ConfigurationDocument document() {
      Map<Section, Long> versions = new EnumMap<>(Section.class);
      Map<Section, ObjectNode> contents = new EnumMap<>(Section.class);
      sections.forEach(
          (s, stored) -> {
            versions.put(s, stored.row().version());
            contents.put(s, stored.content());
          });
      return new ConfigurationDocument(head.version(), versions, contents);
    }
  }

  /** Reads the head row; version 0 if there is none. */
  public Either<Failure, Head> head() {
    return headRow().map(Versioned::head);
  }

  private record Versioned(Head head, long rowVersion) {}

  private Either<Failure, Versioned> headRow() {
    return table
        .read(Rows.HEAD)
        .flatMap(
            row ->
                row.isEmpty()
                    ? Either.right(new Versioned(new Head(0, Map.of(), ""), 0))
                    : Rows.parse(Rows.HEAD, row.get().value(), Head.class)
                        .map(h -> new Versioned(h, row.get().version())));
  }

  /** Reads all sections at one head version. */
  public Either<Failure, State> state() {
    return state(Map.of());
  }

  /**
   * Reads all sections at one head version and takes those from {@code known} whose version did not
   * change.
   */
  public Either<Failure, State> state(Map<Section, Stored> known) {
    for (int i = 0; i < MAX_READS; i++) {
      Either<Failure, Versioned> head = headRow();
      if (head.isLeft()) {
        return Either.left(head.getLeft());
      }
      Either<Failure, Optional<Map<Section, Stored>>> read = sections(head.get().head(), known);
      if (read.isLeft()) {
        return Either.left(read.getLeft());
      }
      if (read.get().isPresent()) {
        Versioned h = head.get();
        return Either.right(new State(h.head(), h.rowVersion(), read.get().get()));
      }
    }
    String m = "the configuration changed during each of " + MAX_READS + " reads";
    return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, m));
  }

  /** The inner option is empty if a section has another version than the head states. */
  private Either<Failure, Optional<Map<Section, Stored>>> sections(
      Head head, Map<Section, Stored> known) {
    Map<Section, Stored> sections = new EnumMap<>(Section.class);
    for (Section s : Section.values()) {
      long version = head.versions().getOrDefault(s.wireName(), 0L);
      if (version == 0) {
        continue;
      }
      Stored k = known.get(s);
      if (k != null && k.row().version() == version) {
        sections.put(s, k);
        continue;
      }
      Either<Failure, Optional<Stored>> stored = section(s);
      if (stored.isLeft()) {
        return Either.left(stored.getLeft());
      }
      Optional<Stored> at = stored.get().filter(x -> x.row().version() == version);
      if (at.isEmpty()) {
        return Either.right(Optional.empty());
      }
      sections.put(s, at.get());
    }
    return Either.right(Optional.of(sections));
  }

  /** The inner option is empty if there is no row or its parts are of different versions. */
  private Either<Failure, Optional<Stored>> section(Section section) {
    String key = Rows.section(section);
    Either<Failure, Optional<Row>> row = table.read(key);
    if (row.isLeft()) {
      return Either.left(row.getLeft());
    }
    if (row.get().isEmpty()) {
      return Either.right(Optional.empty());
    }
    Row r = row.get().get();
    return Rows.parse(key, r.value(), SectionRow.class)
        .flatMap(
            s ->
                s.content() != null
                    ? Either.right(Optional.of(new Stored(s, r.version(), s.content(), List.of())))
                    : parts(section, s, r.version()));
  }

  private Either<Failure, Optional<Stored>> parts(Section section, SectionRow row, long version) {
    List<ObjectNode> parts = new ArrayList<>();
    List<Long> versions = new ArrayList<>();
    for (int i = 0; i < row.parts().size(); i++) {
      Either<Failure, Optional<Row>> read = table.read(Rows.part(section, i));
      if (read.isLeft()) {
        return Either.left(read.getLeft());
      }
      Optional<Row> part = read.get();
      if (part.isEmpty() || !Digests.sha256Hex(part.get().value()).equals(row.parts().get(i))) {
        return Either.right(Optional.empty());
      }
      byte[] json = part.get().value().getBytes(StandardCharsets.UTF_8);
      Either<Failure, ObjectNode> node = ConfigurationDocument.readObject(json);
      if (node.isLeft()) {
        return Either.left(node.getLeft());
      }
      parts.add(node.get());
      versions.add(part.get().version());
    }
    return Either.right(
        Optional.of(new Stored(row, version, SectionParts.join(parts), List.copyOf(versions))));
  }

  /** Reads the audit rows of the head versions in the range, newest first. */
  public Either<Failure, List<AuditEntry>> audit(long fromHead, long toHead) {
    List<AuditEntry> entries = new ArrayList<>();
    for (long step = toHead / AUDIT_STEP; step >= 0 && step >= fromHead / AUDIT_STEP; step--) {
      String first = Rows.audit(step * AUDIT_STEP);
      Either<Failure, List<Row>> rows =
          table.scan(first.substring(0, first.length() - 1), AUDIT_STEP);
      if (rows.isLeft()) {
        return Either.left(rows.getLeft());
      }
      for (int i = rows.get().size() - 1; i >= 0; i--) {
        Row r = rows.get().get(i);
        Either<Failure, AuditEntry> e = Rows.parse(r.key(), r.value(), AuditEntry.class);
        if (e.isLeft()) {
          return Either.left(e.getLeft());
        }
        if (e.get().headVersion() >= fromHead && e.get().headVersion() <= toHead) {
          entries.add(e.get());
        }
      }
    }
    return Either.right(entries);
  }
}

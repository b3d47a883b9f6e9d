package org.cowslipyoke.config.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.Editors;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.SectionDraft;
import org.cowslipyoke.config.internal.ConfigurationStore.State;
import org.cowslipyoke.config.internal.ConfigurationStore.Stored;
import org.cowslipyoke.config.internal.Rows.Head;
import org.cowslipyoke.config.internal.Rows.SectionRow;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable.Write;
import org.cowslipyoke.util.Digests;

/**
 * Makes the writes of one change: section row, changed parts, head row and audit row.
 *
 * @param state rows that the writes are conditional on
 * @param digest SHA-256 of the new content
 * @param changes changed values for the audit row
 */
public record ChangeWriter(
    Section section,
    State state,
    SectionDraft draft,
    String digest,
    List<String> changes,
    String changeId,
    String who,
    String reason) {

  /** Changed values that the audit row lists; at 300 bytes each they stay far below the limit. */
  private static final int MAX_CHANGES = 100;

  /** Digits of the editor's hash in the audit row: enough to tell editors apart. */
  private static final int EDITOR_DIGITS = 12;

  /** Returns the writes; a failure if the section is too large. */
  public Either<Failure, List<Write>> writes(String editorHash, long wallMs) {
    Optional<Stored> stored = state.section(section);
    int before = stored.map(s -> s.partVersions().size()).orElse(0);
    return SectionParts.split(draft.content(), before)
        .map(
            parts -> {
              List<Write> writes = new ArrayList<>();
              List<String> digests = parts.stream().map(Digests::sha256Hex).toList();
              long rowVersion = stored.map(Stored::rowVersion).orElse(0L);
              SectionRow row = sectionRow(digests, wallMs);
              writes.add(Write.put(Rows.section(section), rowVersion, Rows.json(row)));
              addParts(writes, parts, digests);
              addHead(writes);
              addAudit(writes, editorHash, wallMs);
              return writes;
            });
  }

  private long sectionVersion() {
    return state.section(section).map(s -> s.row().version()).orElse(0L);
  }

  private SectionRow sectionRow(List<String> digests, long wallMs) {
    List<String> kept = state.section(section).map(s -> s.row().editors()).orElse(List.of());
    ObjectNode inline = digests.isEmpty() ? draft.content() : null;
    return new SectionRow(
        sectionVersion() + 1,
        state.head().version() + 1,
        changeId,
        digest,
        who,
        wallMs,
        reason,
        draft.editors().map(Editors::hashes).orElse(kept),
        inline,
        digests);
  }

  private void addParts(List<Write> writes, List<String> parts, List<String> digests) {
    List<Long> versions = state.section(section).map(Stored::partVersions).orElse(List.of());
    List<String> old = state.section(section).map(s -> s.row().parts()).orElse(List.of());
    for (int i = 0; i < parts.size(); i++) {
      long version = i < versions.size() ? versions.get(i) : 0;
      if (i >= old.size() || !old.get(i).equals(digests.get(i))) {
        writes.add(Write.put(Rows.part(section, i), version, parts.get(i)));
      }
    }
    for (int i = parts.size(); i < versions.size(); i++) {
      writes.add(new Write(Rows.part(section, i), versions.get(i), Optional.empty(), 0));
    }
  }

  private void addHead(List<Write> writes) {
    Map<String, Long> versions = new HashMap<>(state.head().versions());
    versions.put(section.wireName(), sectionVersion() + 1);
    Head head = new Head(state.head().version() + 1, versions, changeId);
    writes.add(Write.put(Rows.HEAD, state.headRowVersion(), Rows.json(head)));
  }

  private void addAudit(List<Write> writes, String editorHash, long wallMs) {
    List<String> listed = changes.subList(0, Math.min(MAX_CHANGES, changes.size()));
    AuditEntry entry =
        new AuditEntry(
            state.head().version() + 1,
            section.wireName(),
            sectionVersion(),
            sectionVersion() + 1,
            who,
            editorHash.substring(0, EDITOR_DIGITS),
            wallMs,
            reason,
            changeId,
            digest,
            List.copyOf(listed),
            changes.size() - listed.size());
    writes.add(Write.put(Rows.audit(entry.headVersion()), 0, Rows.json(entry)));
  }
}

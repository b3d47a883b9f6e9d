package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import org.cowslipyoke.config.AuditEntry;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.SectionDiff;
import org.cowslipyoke.config.SectionDraft;
import org.cowslipyoke.config.api.ApplySection;
import org.cowslipyoke.config.api.ApplySection.Applied;
import org.cowslipyoke.config.api.ReadAudit;
import org.cowslipyoke.config.api.ReadConfiguration;
import org.cowslipyoke.config.api.ReadSectionHistory;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.pgm.Arguments.CommandException;
import org.cowslipyoke.pgm.Arguments.UsageException;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.util.Clock;

/** Implements the commands {@code config ...} and {@code audit}. */
final class ConfigCommands {

  private static final int MAX_LIMIT = 1_000;

  private final Arguments args;
  private final Output out;
  private final Clock clock;

  ConfigCommands(Arguments args, Output out, Clock clock) {
    this.args = args;
    this.out = out;
    this.clock = clock;
  }

  void validate() throws UsageException, CommandException {
    Section section = args.section();
    String json = Arguments.readFile(args.fileAfter(2));
    SectionDraft draft = getOrThrow(SectionDraft.parse(section, json));
    ConfigurationDocument sectionOnly =
        ConfigurationDocument.empty().with(section, 1, 1, draft.content());
    requireNoErrors(sectionOnly.crossSectionErrors());
    ObjectNode result = object().put("valid", true).put("section", section.wireName());
    out.printResult(result, List.of(String.format(Messages.VALID, section.wireName())));
  }

  void diff(TransactionalTable table) throws UsageException, CommandException {
    Section section = args.section();
    String json = Arguments.readFile(args.fileAfter(2));
    SectionDraft draft = getOrThrow(SectionDraft.parse(section, json));
    ConfigurationDocument current = getOrThrow(ReadConfiguration.from(table).call());
    ObjectNode before = current.content(section).orElseGet(ConfigCommands::object);
    long version = current.versions().getOrDefault(section, 0L);
    requireNoErrors(
        current
            .with(section, version + 1, current.headVersion() + 1, draft.content())
            .crossSectionErrors());
    List<String> lines = SectionDiff.between(before, draft.content()).lines();
    ObjectNode result = object().put("section", section.wireName()).put("version", version);
    lines.forEach(result.putArray("changes")::add);
    String heading = lines.isEmpty() ? Messages.NO_DIFFERENCE : Messages.DIFFERENCE;
    out.printResult(result, Output.withHeading(String.format(heading, version), lines));
  }

  void apply(TransactionalTable table) throws UsageException, CommandException {
    ApplySection command =
        ApplySection.of(table, clock, args.section())
            .json(Arguments.readFile(args.fileAfter(2)))
            .credential(Arguments.readFile(args.required(Messages.CREDENTIAL_FILE)).strip())
            .reason(args.required(Messages.REASON))
            .who(args.value(Messages.WHO).orElse(System.getProperty("user.name", "unknown")));
    args.number(Messages.EXPECT_VERSION).ifPresent(command::expectedVersion);
    args.value(Messages.CHANGE_ID).ifPresent(command::repeatOf);
    Applied a = getOrThrow(command.call());
    ObjectNode result =
        object()
            .put("section", a.section().wireName())
            .put("sectionVersion", a.sectionVersion())
            .put("headVersion", a.headVersion())
            .put("changeId", a.changeId())
            .put("readBack", a.readBack());
    a.changes().forEach(result.putArray("changes")::add);
    String name = a.section().wireName();
    String heading =
        a.changes().isEmpty() && !a.readBack()
            ? String.format(Messages.UNCHANGED, name, a.sectionVersion())
            : String.format(
                Messages.APPLIED, name, a.sectionVersion(), a.headVersion(), a.changeId());
    out.printResult(
        result,
        Output.withHeading(
            a.readBack() ? Messages.READ_BACK + "\n" + heading : heading, a.changes()));
  }

  /**
   * Prints the section in the form that {@code apply} reads, with its version as base of an edit.
   */
  void show(TransactionalTable table) throws UsageException, CommandException {
    Section section = args.section();
    args.requireAtMost(2);
    ConfigurationDocument current = getOrThrow(ReadConfiguration.from(table).call());
    if (current.content(section).isEmpty()) {
      String m = String.format(Messages.SECTION_NOT_FOUND, section.wireName());
      throw new CommandException(Failure.of(ErrorKind.NOT_FOUND, m));
    }
    ObjectNode result =
        object().put(SectionDraft.VERSION, current.versions().getOrDefault(section, 0L));
    result.setAll(current.content(section).get());
    out.printJson(result);
  }

  void history(TransactionalTable table) throws UsageException, CommandException {
    args.requireAtMost(2);
    printAudit(getOrThrow(ReadSectionHistory.of(table, args.section()).limit(limit()).call()));
  }

  void audit(TransactionalTable table) throws UsageException, CommandException {
    args.requireAtMost(1);
    printAudit(getOrThrow(ReadAudit.from(table).limit(limit()).call()));
  }

  private int limit() throws UsageException {
    long n = args.number(Messages.LIMIT).orElse((long) ReadAudit.DEFAULT_LIMIT);
    return (int) Math.max(1, Math.min(n, MAX_LIMIT));
  }

  private void printAudit(List<AuditEntry> entries) {
    ObjectNode result = object();
    var array = result.putArray("changes");
    TextTable rows =
        new TextTable("version", "when", "section", "from", "to", "who", "reason", "change");
    for (AuditEntry e : entries) {
      ObjectNode n = array.addObject();
      n.put("headVersion", e.headVersion()).put("whenMs", e.whenMs()).put("who", e.who());
      n.put("section", e.section()).put("from", e.from()).put("to", e.to());
      n.put("reason", e.reason()).put("changeId", e.changeId()).put("editor", e.editor());
      e.changes().forEach(n.putArray("changes")::add);
      n.put("moreChanges", e.moreChanges());
      rows.add(
          e.headVersion(),
          Instant.ofEpochMilli(e.whenMs()),
          e.section(),
          e.from(),
          e.to(),
          e.who(),
          e.reason(),
          e.changeId());
    }
    out.printResult(result, rows.lines());
  }

  private static void requireNoErrors(List<String> errors) throws CommandException {
    if (!errors.isEmpty()) {
      throw new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, String.join("\n", errors)));
    }
  }

  private static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static <T> T getOrThrow(Either<Failure, T> result) throws CommandException {
    if (result.isLeft()) {
      throw new CommandException(result.getLeft());
    }
    return result.get();
  }
}

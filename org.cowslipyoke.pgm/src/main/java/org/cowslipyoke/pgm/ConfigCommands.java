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

/** The commands {@code config ...} and {@code audit}. */
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
    String json = Arguments.read(args.file(2));
    SectionDraft draft = get(SectionDraft.parse(section, json));
    ConfigurationDocument alone =
        ConfigurationDocument.empty().with(section, 1, 1, draft.content());
    check(alone.crossSectionErrors());
    ObjectNode result = object().put("valid", true).put("section", section.wireName());
    out.result(result, List.of(String.format(Texts.VALID, section.wireName())));
  }

  void diff(TransactionalTable table) throws UsageException, CommandException {
    Section section = args.section();
    String json = Arguments.read(args.file(2));
    SectionDraft draft = get(SectionDraft.parse(section, json));
    ConfigurationDocument now = get(ReadConfiguration.from(table).call());
    ObjectNode before = now.content(section).orElseGet(ConfigCommands::object);
    long version = now.versions().getOrDefault(section, 0L);
    check(
        now.with(section, version + 1, now.headVersion() + 1, draft.content())
            .crossSectionErrors());
    List<String> lines = SectionDiff.between(before, draft.content()).lines();
    ObjectNode result = object().put("section", section.wireName()).put("version", version);
    lines.forEach(result.putArray("changes")::add);
    String head = lines.isEmpty() ? Texts.NO_DIFFERENCE : Texts.DIFFERENCE;
    out.result(result, Output.after(String.format(head, version), lines));
  }

  void apply(TransactionalTable table) throws UsageException, CommandException {
    ApplySection command =
        ApplySection.of(table, clock, args.section())
            .json(Arguments.read(args.file(2)))
            .credential(Arguments.read(args.required(Texts.CREDENTIAL_FILE)).strip())
            .reason(args.required(Texts.REASON))
            .who(args.value(Texts.WHO).orElse(System.getProperty("user.name", "unknown")));
    args.number(Texts.EXPECT_VERSION).ifPresent(command::expectedVersion);
    args.value(Texts.CHANGE_ID).ifPresent(command::repeatOf);
    Applied a = get(command.call());
    ObjectNode result =
        object()
            .put("section", a.section().wireName())
            .put("sectionVersion", a.sectionVersion())
            .put("headVersion", a.headVersion())
            .put("changeId", a.changeId())
            .put("readBack", a.readBack());
    a.changes().forEach(result.putArray("changes")::add);
    String name = a.section().wireName();
    String head =
        a.changes().isEmpty() && !a.readBack()
            ? String.format(Texts.UNCHANGED, name, a.sectionVersion())
            : String.format(Texts.APPLIED, name, a.sectionVersion(), a.headVersion(), a.changeId());
    out.result(
        result, Output.after(a.readBack() ? Texts.READ_BACK + "\n" + head : head, a.changes()));
  }

  /** Prints the section as {@code apply} takes it, with the version that an edit starts from. */
  void show(TransactionalTable table) throws UsageException, CommandException {
    Section section = args.section();
    args.noMoreThan(2);
    ConfigurationDocument now = get(ReadConfiguration.from(table).call());
    if (now.content(section).isEmpty()) {
      String m = String.format(Texts.ABSENT, section.wireName());
      throw new CommandException(Failure.of(ErrorKind.NOT_FOUND, m));
    }
    ObjectNode result =
        object().put(SectionDraft.VERSION, now.versions().getOrDefault(section, 0L));
    result.setAll(now.content(section).get());
    out.json(result);
  }

  void history(TransactionalTable table) throws UsageException, CommandException {
    args.noMoreThan(2);
    printAudit(get(ReadSectionHistory.of(table, args.section()).limit(limit()).call()));
  }

  void audit(TransactionalTable table) throws UsageException, CommandException {
    args.noMoreThan(1);
    printAudit(get(ReadAudit.from(table).limit(limit()).call()));
  }

  private int limit() throws UsageException {
    long n = args.number(Texts.LIMIT).orElse((long) ReadAudit.DEFAULT_LIMIT);
    return (int) Math.max(1, Math.min(n, MAX_LIMIT));
  }

  private void printAudit(List<AuditEntry> entries) {
    ObjectNode result = object();
    var array = result.putArray("changes");
    Table rows = new Table("version", "when", "section", "from", "to", "who", "reason", "change");
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
    out.result(result, rows.lines());
  }

  private static void check(List<String> errors) throws CommandException {
    if (!errors.isEmpty()) {
      throw new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, String.join("\n", errors)));
    }
  }

  private static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static <T> T get(Either<Failure, T> result) throws CommandException {
    if (result.isLeft()) {
      throw new CommandException(result.getLeft());
    }
    return result.get();
  }
}

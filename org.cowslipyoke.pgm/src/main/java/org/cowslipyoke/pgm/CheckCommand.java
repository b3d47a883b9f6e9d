package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.JsonSchemaValidator;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.api.ReadConfiguration;
import org.cowslipyoke.config.check.ConfigurationCheck;
import org.cowslipyoke.config.check.Finding;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.pgm.Arguments.CommandException;
import org.cowslipyoke.pgm.Arguments.UsageException;
import org.cowslipyoke.platform.TransactionalTable;

/**
 * Implements the command {@code config check}. A file holds an object with one key per section, or
 * one section with {@code --section}.
 */
final class CheckCommand {

  private static final Pattern VERSION = Pattern.compile("[0-9]{1,18}");

  private final Arguments args;
  private final Output out;
  private final TableSource table;

  /** Opens the table that the command line names. */
  @FunctionalInterface
  interface TableSource {
    TransactionalTable open() throws UsageException;
  }

  CheckCommand(Arguments args, Output out, TableSource table) {
    this.args = args;
    this.out = out;
    this.table = table;
  }

  /** Prints the findings; fails if the document would be refused. */
  void call() throws UsageException, CommandException {
    String file = args.fileAfter(2);
    Optional<ConfigurationDocument> base = base();
    ConfigurationCheck.Result result = ConfigurationCheck.of(sections(file), base);
    out.printResult(json(result), lines(result, base.isPresent()));
    if (!result.isValid()) {
      String m = String.format(Messages.CHECK_FAILED, result.count(Finding.Severity.ERROR));
      throw new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, m));
    }
  }

  /** Returns the document to compare with. */
  private Optional<ConfigurationDocument> base() throws UsageException, CommandException {
    Optional<String> against = args.value(Messages.AGAINST);
    if (against.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        VERSION.matcher(against.get()).matches()
            ? inForce(Long.parseLong(against.get()))
            : document(sections(against.get())));
  }

  /** Returns the document in the table, which holds no other version than the one in force. */
  private ConfigurationDocument inForce(long version) throws UsageException, CommandException {
    ConfigurationDocument d = getOrThrow(ReadConfiguration.from(table.open()).call());
    if (d.headVersion() != version) {
      String m = String.format(Messages.NOT_IN_FORCE, version, d.headVersion());
      throw new CommandException(Failure.of(ErrorKind.NOT_FOUND, m));
    }
    return d;
  }

  private static ConfigurationDocument document(Map<Section, JsonNode> sections)
      throws CommandException {
    ConfigurationDocument d = ConfigurationDocument.empty();
    for (Map.Entry<Section, JsonNode> e : sections.entrySet()) {
      if (!(e.getValue() instanceof ObjectNode o)) {
        throw invalid(String.format(Messages.NOT_A_SECTION, e.getKey().wireName()));
      }
      ObjectNode content = o.deepCopy();
      content.remove(List.of("version", "editors"));
      d = d.with(e.getKey(), 1, 1, content);
    }
    return d;
  }

  private Map<Section, JsonNode> sections(String file) throws UsageException, CommandException {
    JsonNode json = getOrThrow(JsonSchemaValidator.read(Arguments.readFile(file)));
    if (args.has(Messages.SECTION)) {
      return Map.of(args.section(), json);
    }
    Map<Section, JsonNode> sections = new EnumMap<>(Section.class);
    for (Map.Entry<String, JsonNode> e : json.properties()) {
      // The two keys stand in the form in which processes exchange the document.
      if (!e.getKey().equals("version") && !e.getKey().equals("versions")) {
        sections.put(getOrThrow(Section.parse(e.getKey())), e.getValue());
      }
    }
    if (sections.isEmpty()) {
      throw invalid(String.format(Messages.NO_SECTIONS, file));
    }
    return sections;
  }

  private static List<String> lines(ConfigurationCheck.Result result, boolean compared) {
    List<String> lines = new ArrayList<>();
    for (Finding f : result.findings()) {
      lines.add(f.section().wireName() + " " + f.severity().wireName() + ": " + f.message());
    }
    if (compared && result.changes().isEmpty()) {
      lines.add(Messages.NO_CHANGES);
    }
    result
        .changes()
        .forEach(
            (section, changes) -> {
              lines.add(String.format(Messages.SECTION_CHANGES, section.wireName()));
              changes.forEach(c -> lines.add("  " + c));
            });
    lines.add(
        String.format(
            Messages.CHECKED,
            result.count(Finding.Severity.ERROR),
            result.count(Finding.Severity.WARNING)));
    return lines;
  }

  private static ObjectNode json(ConfigurationCheck.Result result) {
    ObjectNode json = JsonNodeFactory.instance.objectNode().put("valid", result.isValid());
    var findings = json.putArray("findings");
    for (Finding f : result.findings()) {
      findings
          .addObject()
          .put("section", f.section().wireName())
          .put("severity", f.severity().wireName())
          .put("path", f.path())
          .put("message", f.message());
    }
    ObjectNode changes = json.putObject("changes");
    result.changes().forEach((s, lines) -> lines.forEach(changes.withArray(s.wireName())::add));
    return json;
  }

  private static CommandException invalid(String message) {
    return new CommandException(Failure.of(ErrorKind.INVALID_REQUEST, message));
  }

  private static <T> T getOrThrow(Either<Failure, T> result) throws CommandException {
    if (result.isLeft()) {
      throw new CommandException(result.getLeft());
    }
    return result.get();
  }
}

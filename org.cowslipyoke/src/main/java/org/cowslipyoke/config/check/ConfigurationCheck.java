package org.cowslipyoke.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.ConfigurationDocument;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.SectionDraft;
import org.cowslipyoke.errors.Failure;

/**
 * Checks sections before they are applied, with the schemas, cross checks and reader that {@code
 * apply} and the daemons use, and looks for entries without effect. Finds all errors at once: the
 * sections that the schema accepts are checked further beside those that it does not.
 */
public final class ConfigurationCheck {

  private final Map<Section, JsonNode> texts;
  private final Optional<ConfigurationDocument> base;
  private final Map<Section, SectionDraft> drafts = new EnumMap<>(Section.class);
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationCheck(Map<Section, JsonNode> texts, Optional<ConfigurationDocument> base) {
    this.texts = texts;
    this.base = base;
  }

  /**
   * Result of a check.
   *
   * @param findings by section, errors first
   * @param changes lines of the changes against the other document by section; only sections that
   *     change
   */
  public record Result(List<Finding> findings, Map<Section, List<String>> changes) {

    /** Returns whether the document is accepted. */
    public boolean isValid() {
      return findings.stream().noneMatch(Finding::isError);
    }

    /** Returns the number of findings of a severity. */
    public long count(Finding.Severity severity) {
      return findings.stream().filter(f -> f.severity() == severity).count();
    }
  }

  /**
   * Checks sections as their teams write them.
   *
   * @param texts the sections to check
   * @param base document that they are compared with, and that holds the other sections; empty if
   *     there is none
   */
  public static Result of(Map<Section, JsonNode> texts, Optional<ConfigurationDocument> base) {
    ConfigurationCheck check = new ConfigurationCheck(texts, base);
    check.parse();
    ConfigurationDocument document = check.document();
    check.checkReferences(document);
    check.findings.addAll(EditorChecks.findings(check.drafts));
    check.findWithoutEffect(document);
    check.findings.sort(Comparator.comparing(Finding::section).thenComparing(Finding::severity));
    return new Result(List.copyOf(check.findings), check.changes());
  }

  private void parse() {
    texts.forEach(
        (section, json) -> {
          List<String> errors = SectionDraft.errors(section, json);
          errors.forEach(e -> findings.add(Finding.error(section, e)));
          if (errors.isEmpty()) {
            Either<Failure, SectionDraft> draft = SectionDraft.parse(section, json.toString());
            draft.peek(d -> drafts.put(section, d));
            draft.peekLeft(f -> findings.add(Finding.error(section, f.message())));
          }
        });
  }

  /** Returns the valid sections, and those of the base that are not checked. */
  private ConfigurationDocument document() {
    Map<Section, ObjectNode> contents = new EnumMap<>(Section.class);
    base.ifPresent(b -> contents.putAll(b.contents()));
    contents.keySet().removeAll(texts.keySet());
    drafts.forEach((section, draft) -> contents.put(section, draft.content()));
    Map<Section, Long> versions = new EnumMap<>(Section.class);
    contents.keySet().forEach(s -> versions.put(s, 1L));
    return new ConfigurationDocument(1, versions, contents);
  }

  private void checkReferences(ConfigurationDocument document) {
    document.crossSectionErrors().forEach(e -> findings.add(Finding.error(sectionOf(e), e)));
    if (document.isComplete()) {
      Either<Failure, Configuration> read = document.toConfiguration();
      read.peekLeft(f -> drafts.keySet().forEach(s -> findings.add(Finding.error(s, f.message()))));
    }
  }

  /** Returns the section that the path of a cross check's message begins with. */
  private static Section sectionOf(String message) {
    String name = message.split("/", 3)[1];
    return Section.parse(name).getOrElseThrow(f -> new IllegalStateException(f.message()));
  }

  private void findWithoutEffect(ConfigurationDocument document) {
    List<Finding> all = new ArrayList<>(UnusedEntries.findings(document.contents()));
    all.addAll(ContradictingLimits.findings(document.contents()));
    all.stream().filter(f -> drafts.containsKey(f.section())).forEach(findings::add);
  }

  private Map<Section, List<String>> changes() {
    Map<Section, List<String>> changes = new EnumMap<>(Section.class);
    base.ifPresent(
        b ->
            drafts.forEach(
                (section, draft) -> {
                  List<String> lines = SemanticDiff.lines(b.content(section), draft.content());
                  if (!lines.isEmpty()) {
                    changes.put(section, lines);
                  }
                }));
    return changes;
  }
}

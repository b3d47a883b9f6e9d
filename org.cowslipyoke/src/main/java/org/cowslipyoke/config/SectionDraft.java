package org.cowslipyoke.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * A section as a team writes it, checked against the schema of the section.
 *
 * @param baseVersion version that the edit started from; empty if the text does not state it
 * @param editors hashes of the credentials; empty to keep the present ones
 * @param content the section without {@code version} and {@code editors}
 */
public record SectionDraft(
    Section section, Optional<Long> baseVersion, Optional<Editors> editors, ObjectNode content) {

  /** Key of the version that an edit started from. */
  public static final String VERSION = "version";

  /** Key of the hashes of the editors' credentials. */
  public static final String EDITORS = "editors";

  /** Largest accepted text: about three times the organisations section of the target size. */
  public static final int MAX_CHARS = 8 * 1024 * 1024;

  private static final Map<Section, JsonSchemaValidator> CHECKS = loadChecks();

  /** Parses and checks a section. The failure lists every error with path, value and rule. */
  public static Either<Failure, SectionDraft> parse(Section section, String json) {
    if (json.length() > MAX_CHARS) {
      String m = "section is longer than " + MAX_CHARS + " characters";
      return Either.left(Failure.of(ErrorKind.TOO_LARGE, m));
    }
    return check(section).parse(json).map(n -> split(section, (ObjectNode) n));
  }

  /** Returns a message for each violation of the schema of the section. */
  public static List<String> errors(Section section, JsonNode json) {
    return check(section).messages(json);
  }

  private static JsonSchemaValidator check(Section section) {
    JsonSchemaValidator c = CHECKS.get(section);
    if (c == null) {
      throw new IllegalStateException("section " + section + " has no schema");
    }
    return c;
  }

  private static SectionDraft split(Section section, ObjectNode node) {
    ObjectNode content = node.deepCopy();
    JsonNode version = content.remove(VERSION);
    JsonNode hashes = content.remove(EDITORS);
    Optional<Editors> editors = Optional.empty();
    if (hashes != null) {
      List<String> list = new ArrayList<>();
      hashes.forEach(h -> list.add(h.asText()));
      editors = Optional.of(new Editors(List.copyOf(list)));
    }
    return new SectionDraft(
        section, Optional.ofNullable(version).map(JsonNode::asLong), editors, content);
  }

  private static Map<Section, JsonSchemaValidator> loadChecks() {
    Map<Section, JsonSchemaValidator> checks = new EnumMap<>(Section.class);
    for (Section s : Section.values()) {
      checks.put(
          s, JsonSchemaValidator.ofResource(SectionDraft.class, s.wireName() + ".schema.json"));
    }
    return checks;
  }
}

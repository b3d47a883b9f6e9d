package org.cowslipyoke.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.config.internal.CrossChecks;
import org.cowslipyoke.config.internal.SnapshotReader;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * The whole document as JSON: contents and versions of the sections under one head version. It is
 * what processes exchange; {@link #toConfiguration} gives the form that decisions read. Immutable;
 * the JSON nodes must not be modified.
 */
public final class ConfigurationDocument {

  private static final String HEAD_VERSION = "version";
  private static final String VERSIONS = "versions";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final long headVersion;
  private final Map<Section, Long> versions;
  private final Map<Section, ObjectNode> contents;

  /** Creates a document; a section may be absent as long as nobody has written it. */
  public ConfigurationDocument(
      long headVersion, Map<Section, Long> versions, Map<Section, ObjectNode> contents) {
    this.headVersion = headVersion;
    this.versions = copy(versions);
    this.contents = copy(contents);
  }

  /** Returns the document before the first change. */
  public static ConfigurationDocument empty() {
    return new ConfigurationDocument(0, Map.of(), Map.of());
  }

  /** Parses the whole document from the bytes that {@link #toBytes} returns. */
  public static Either<Failure, ConfigurationDocument> parse(byte[] json) {
    return readObject(json).flatMap(ConfigurationDocument::ofTree);
  }

  /** Parses a JSON object, for example a merge patch. */
  public static Either<Failure, ObjectNode> readObject(byte[] json) {
    try {
      JsonNode n = MAPPER.readTree(json);
      return n instanceof ObjectNode o ? Either.right(o) : Either.left(damaged("not an object"));
    } catch (IOException e) {
      return Either.left(damaged("not valid JSON"));
    }
  }

  /** Returns the document that the tree holds; the reverse of {@link #toTree}. */
  public static Either<Failure, ConfigurationDocument> ofTree(JsonNode tree) {
    JsonNode head = tree.path(HEAD_VERSION);
    if (!head.canConvertToLong() || !head.isIntegralNumber()) {
      return Either.left(damaged("no head version"));
    }
    Map<Section, Long> versions = new EnumMap<>(Section.class);
    Map<Section, ObjectNode> contents = new EnumMap<>(Section.class);
    for (Section s : Section.values()) {
      JsonNode version = tree.path(VERSIONS).get(s.wireName());
      JsonNode content = tree.get(s.wireName());
      if (version != null && content instanceof ObjectNode o) {
        versions.put(s, version.asLong());
        contents.put(s, o);
      }
    }
    return Either.right(new ConfigurationDocument(head.asLong(), versions, contents));
  }

  /** Returns the document as one tree, the base of merge patches. */
  public ObjectNode toTree() {
    ObjectNode tree = JsonNodeFactory.instance.objectNode();
    tree.put(HEAD_VERSION, headVersion);
    ObjectNode v = tree.putObject(VERSIONS);
    versions.forEach((s, n) -> v.put(s.wireName(), n));
    contents.forEach((s, c) -> tree.set(s.wireName(), c));
    return tree;
  }

  /** Returns the document as JSON bytes. */
  public byte[] toBytes() {
    return toJsonBytes(toTree());
  }

  /** Returns a tree as JSON bytes. */
  public static byte[] toJsonBytes(JsonNode tree) {
    try {
      return MAPPER.writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  /** Returns the version of the whole document, 0 before the first change. */
  public long headVersion() {
    return headVersion;
  }

  /** Returns the versions of the sections that exist. */
  public Map<Section, Long> versions() {
    return versions;
  }

  /** Returns the contents of the sections that exist. */
  public Map<Section, ObjectNode> contents() {
    return contents;
  }

  /** Returns the content of a section. */
  public Optional<ObjectNode> content(Section section) {
    return Optional.ofNullable(contents.get(section));
  }

  /** Returns the document with one section replaced. */
  public ConfigurationDocument with(
      Section section, long sectionVersion, long newHeadVersion, ObjectNode content) {
    Map<Section, Long> v = new EnumMap<>(Section.class);
    v.putAll(versions);
    v.put(section, sectionVersion);
    Map<Section, ObjectNode> c = new EnumMap<>(Section.class);
    c.putAll(contents);
    c.put(section, content);
    return new ConfigurationDocument(newHeadVersion, v, c);
  }

  /** Returns whether every section exists. */
  public boolean isComplete() {
    return contents.size() == Section.values().length;
  }

  /** Returns an error message for each reference between sections that has no target. */
  public List<String> crossSectionErrors() {
    return CrossChecks.errors(contents);
  }

  /**
   * Returns the snapshot that decisions read. Unknown keys are ignored, so that a process of an
   * older release accepts a document of a newer one; the check on apply refuses them.
   */
  public Either<Failure, Configuration> toConfiguration() {
    if (!isComplete()) {
      String m = "the configuration has only the sections " + contents.keySet();
      return Either.left(Failure.of(ErrorKind.NOT_READY, m));
    }
    try {
      return Either.right(SnapshotReader.read(this));
    } catch (IllegalArgumentException e) {
      return Either.left(damaged(String.valueOf(e.getMessage())));
    }
  }

  private static Failure damaged(String what) {
    return Failure.of(ErrorKind.INTERNAL, "configuration document is damaged: " + what);
  }

  private static <V> Map<Section, V> copy(Map<Section, V> map) {
    Map<Section, V> c = new EnumMap<>(Section.class);
    c.putAll(map);
    return Collections.unmodifiableMap(c);
  }
}

package org.cowslipyoke.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * Checks JSON text against a JSON Schema. Every message names the path, the value found there and
 * what is allowed.
 */
public final class JsonSchemaValidator {

  /** Messages of one failure; more of them are counted only. */
  private static final int MAX_MESSAGES = 20;

  /** Characters of a value that a message repeats. */
  private static final int MAX_VALUE = 80;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final JsonNode schemaNode;
  private final Schema schema;

  private JsonSchemaValidator(JsonNode schemaNode) {
    this.schemaNode = schemaNode;
    this.schema =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(schemaNode);
  }

  /**
   * Loads a schema from the resources beside a class.
   *
   * @throws IllegalStateException if the resource does not exist
   */
  public static JsonSchemaValidator ofResource(Class<?> beside, String name) {
    try (InputStream in = beside.getResourceAsStream(name)) {
      if (in == null) {
        throw new IllegalStateException("resource " + name + " is missing");
      }
      return new JsonSchemaValidator(MAPPER.readTree(in));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses the text and checks it. The failure lists all errors, one per line. */
  public Either<Failure, JsonNode> parse(String json) {
    return read(json)
        .flatMap(
            node -> {
              List<String> messages = messages(node);
              return messages.isEmpty() ? Either.right(node) : Either.left(invalid(messages));
            });
  }

  /** Parses text in which each key occurs once and nothing follows the value. */
  public static Either<Failure, JsonNode> read(String json) {
    try {
      return Either.right(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      return Either.left(invalid(List.of(syntaxMessage(e))));
    }
  }

  /** Returns a message for each violation of the schema, empty if there is none. */
  public List<String> messages(JsonNode node) {
    return schema.validate(node).stream().map(this::describe).distinct().sorted().toList();
  }

  /** Returns the failure that carries the messages. */
  static Failure invalid(List<String> messages) {
    List<String> lines = new ArrayList<>(messages);
    if (lines.size() > MAX_MESSAGES) {
      int more = lines.size() - MAX_MESSAGES;
      lines = new ArrayList<>(lines.subList(0, MAX_MESSAGES));
      lines.add("and " + more + " more");
    }
    return Failure.of(ErrorKind.INVALID_REQUEST, String.join("\n", lines));
  }

  private static String syntaxMessage(JsonProcessingException e) {
    var at = e.getLocation();
    String where = at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
    return "not valid JSON" + where + ": " + e.getOriginalMessage();
  }

  private String describe(Error e) {
    String path = pathOf(e.getInstanceLocation().toString());
    JsonNode rule = e.getSchemaNode();
    JsonNode value = e.getInstanceNode();
    return switch (e.getKeyword()) {
      case "additionalProperties" -> {
        String at = pathOf((path.equals("/") ? "" : path) + "/" + e.getProperty());
        JsonNode unknown = value == null ? null : value.get(e.getProperty());
        yield at + ": key is unknown, value " + shown(unknown) + "; allowed: " + keys(e);
      }
      case "required" ->
          path + ": key \"" + e.getProperty() + "\" is missing, value " + shown(value);
      default ->
          path
              + ": value "
              + shown(value)
              + " is not allowed; allowed: "
              + allowed(e.getKeyword(), rule);
    };
  }

  private static String pathOf(String pointer) {
    return pointer.isEmpty() ? "/" : pointer;
  }

  private static String shown(@org.jspecify.annotations.Nullable JsonNode value) {
    String text = String.valueOf(value);
    return text.length() <= MAX_VALUE ? text : text.substring(0, MAX_VALUE) + "...";
  }

  private static String allowed(String keyword, JsonNode rule) {
    return switch (keyword) {
      case "enum" -> "one of " + rule;
      case "type" -> "type " + rule.asText();
      case "pattern" -> "text that matches " + rule.asText();
      case "minimum" -> "at least " + rule;
      case "maximum" -> "at most " + rule;
      case "minItems" -> "at least " + rule + " items";
      case "maxItems" -> "at most " + rule + " items";
      case "minLength" -> "at least " + rule + " characters";
      case "maxLength" -> "at most " + rule + " characters";
      case "maxProperties" -> "at most " + rule + " keys";
      default -> keyword + " " + rule;
    };
  }

  /** Returns the keys that the object with the unknown key may have. */
  private String keys(Error e) {
    String pointer = e.getSchemaLocation().getFragment().toString();
    JsonNode parent = schemaNode.at(pointer.substring(0, pointer.lastIndexOf('/')));
    List<String> names = new ArrayList<>();
    parent.path("properties").fieldNames().forEachRemaining(names::add);
    parent.path("patternProperties").fieldNames().forEachRemaining(p -> names.add("names " + p));
    return String.join(", ", names);
  }
}

package org.cowslipyoke.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;

/** Immutable named values with defaults; names without a default are rejected. */
final class JsonSettings {

  static final ObjectMapper JSON = new ObjectMapper();

  private final ObjectNode values;

  private JsonSettings(ObjectNode values) {
    this.values = values;
  }

  /**
   * Returns the values of a JSON object.
   *
   * @throws IllegalArgumentException if the text is not a JSON object
   */
  static JsonSettings of(String json) {
    return new JsonSettings(object(json));
  }

  /**
   * Returns a copy in which the given values replace the current ones.
   *
   * @throws IllegalArgumentException if a name or the type of a value is not known
   */
  JsonSettings with(JsonNode given) {
    ObjectNode merged = values.deepCopy();
    for (Iterator<String> names = given.fieldNames(); names.hasNext(); ) {
      String n = names.next();
      JsonNode present = merged.get(n);
      if (present == null) {
        throw new IllegalArgumentException("unknown name " + n + ", allowed: " + allowed());
      }
      if (present.getNodeType() != given.get(n).getNodeType()) {
        throw new IllegalArgumentException(n + " must be of type " + present.getNodeType());
      }
      merged.set(n, given.get(n));
    }
    return new JsonSettings(merged);
  }

  static ObjectNode object(String json) {
    try {
      return (ObjectNode) JSON.readTree(json);
    } catch (JsonProcessingException | ClassCastException e) {
      throw new IllegalArgumentException("not a JSON object", e);
    }
  }

  JsonNode node(String name) {
    JsonNode n = values.get(name);
    if (n == null) {
      throw new IllegalArgumentException("no default for " + name);
    }
    return n;
  }

  int count(String name) {
    return node(name).asInt();
  }

  long number(String name) {
    return node(name).asLong();
  }

  double real(String name) {
    return node(name).asDouble();
  }

  boolean flag(String name) {
    return node(name).asBoolean();
  }

  String text(String name) {
    return node(name).asText();
  }

  ObjectNode toJson() {
    return values.deepCopy();
  }

  private String allowed() {
    StringBuilder b = new StringBuilder();
    values.fieldNames().forEachRemaining(n -> b.append(b.isEmpty() ? "" : ", ").append(n));
    return b.toString();
  }
}

package org.cowslipyoke.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads and creates the JSON values of this package's table rows. */
final class RowJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private RowJson() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Parses the value of a row; returns an empty object if it is not a JSON object. */
  static JsonNode read(String value) {
    try {
      JsonNode n = MAPPER.readTree(value);
      return n.isObject() ? n : object();
    } catch (JsonProcessingException e) {
      return object();
    }
  }
}

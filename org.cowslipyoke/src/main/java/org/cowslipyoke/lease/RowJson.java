package org.cowslipyoke.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON values of the rows of this package. */
final class RowJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private RowJson() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns the value of a row; a value that is no JSON object reads as an empty object. */
  static JsonNode read(String value) {
    try {
      JsonNode n = MAPPER.readTree(value);
      return n.isObject() ? n : object();
    } catch (JsonProcessingException e) {
      return object();
    }
  }
}

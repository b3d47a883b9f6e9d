package org.cowslipyoke.util;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** JSON parsing with limits on length and nesting depth. */
public final class Json {

  /** Maximum nesting depth; responses of the platform never reach it. */
  private static final int MAX_DEPTH = 32;

  /**
   * Maximum length of a string. A string is a table row of at most 256 KiB; escapes can make it
   * longer on the wire.
   */
  private static final int MAX_STRING = 2 << 20;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAX_DEPTH)
                          .maxStringLength(MAX_STRING)
                          .maxNameLength(1024)
                          .maxNumberLength(64)
                          .build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses one JSON object.
   *
   * @throws MalformedResponseException if the bytes are not a JSON object or exceed a limit
   */
  public static JsonNode parse(byte[] bytes) throws MalformedResponseException {
    try {
      JsonNode n = MAPPER.readTree(bytes);
      if (n == null || !n.isObject()) {
        throw new MalformedResponseException("answer is not a JSON object");
      }
      return n;
    } catch (JsonProcessingException e) {
      throw new MalformedResponseException("answer is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new MalformedResponseException("answer is not valid JSON");
    }
  }

  /** Encodes a JSON tree as UTF-8 bytes. */
  public static byte[] bytes(JsonNode n) {
    return n.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns a required field.
   *
   * @throws MalformedResponseException if the field is missing
   */
  public static JsonNode field(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = n.get(name);
    if (f == null) {
      throw new MalformedResponseException("answer has no field " + name);
    }
    return f;
  }

  /**
   * Returns the value of a required string field.
   *
   * @throws MalformedResponseException if the field is missing or not a string
   */
  public static String text(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.isTextual()) {
      throw new MalformedResponseException("field " + name + " is not a text");
    }
    return f.textValue();
  }

  /**
   * Returns the value of a required integer field.
   *
   * @throws MalformedResponseException if the field is missing or not an integer that fits 64 bits
   */
  public static long integer(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.canConvertToLong() || !f.isIntegralNumber()) {
      throw new MalformedResponseException("field " + name + " is not an integer");
    }
    return f.longValue();
  }

  /**
   * Returns the value of a required integer field from 0 to 2<sup>31</sup> - 1.
   *
   * @throws MalformedResponseException if the field is missing, not an integer or out of range
   */
  public static int nonNegativeInt(JsonNode n, String name) throws MalformedResponseException {
    long v = integer(n, name);
    if (v < 0 || v > Integer.MAX_VALUE) {
      throw new MalformedResponseException("field " + name + " is out of range");
    }
    return (int) v;
  }

  /**
   * Returns the value of a required boolean field.
   *
   * @throws MalformedResponseException if the field is missing or not a boolean
   */
  public static boolean bool(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.isBoolean()) {
      throw new MalformedResponseException("field " + name + " is not a boolean");
    }
    return f.booleanValue();
  }

  /**
   * Returns a required array field.
   *
   * @throws MalformedResponseException if the field is missing or not an array
   */
  public static JsonNode array(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.isArray()) {
      throw new MalformedResponseException("field " + name + " is not an array");
    }
    return f;
  }
}

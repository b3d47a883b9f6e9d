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

/** JSON with bounds on length and nesting depth. */
public final class Json {

  /** Nesting depth that the platform's answers never reach. */
  private static final int MAX_DEPTH = 32;

  /** A string is a table row of at most 256 KiB; escapes can make it longer on the wire. */
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
   * Reads one JSON object.
   *
   * @throws MalformedResponseException if the bytes are no JSON object or exceed a bound
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

  /** Returns the UTF-8 bytes of a JSON tree. */
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
   * Returns a required text field.
   *
   * @throws MalformedResponseException if the field is missing or no text
   */
  public static String text(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.isTextual()) {
      throw new MalformedResponseException("field " + name + " is not a text");
    }
    return f.textValue();
  }

  /**
   * Returns a required integer field.
   *
   * @throws MalformedResponseException if the field is missing or no integer
   */
  public static long integer(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.canConvertToLong() || !f.isIntegralNumber()) {
      throw new MalformedResponseException("field " + name + " is not an integer");
    }
    return f.longValue();
  }

  /**
   * Returns a required integer field that fits 32 bits.
   *
   * @throws MalformedResponseException if the field is missing, no integer or too large
   */
  public static int nonNegativeInt(JsonNode n, String name) throws MalformedResponseException {
    long v = integer(n, name);
    if (v < 0 || v > Integer.MAX_VALUE) {
      throw new MalformedResponseException("field " + name + " is out of range");
    }
    return (int) v;
  }

  /**
   * Returns a required boolean field.
   *
   * @throws MalformedResponseException if the field is missing or no boolean
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
   * @throws MalformedResponseException if the field is missing or no array
   */
  public static JsonNode array(JsonNode n, String name) throws MalformedResponseException {
    JsonNode f = field(n, name);
    if (!f.isArray()) {
      throw new MalformedResponseException("field " + name + " is not an array");
    }
    return f;
  }
}

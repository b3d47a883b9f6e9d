package org.cowslipyoke.config.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.jspecify.annotations.Nullable;

/** Keys, sizes and JSON forms of the configuration rows in the table. */
public final class Rows {

  /** Key of the head row. */
  public static final String HEAD = "config/head";

  /** Largest value that is written; the table refuses values above 256 KiB. */
  public static final int MAX_ROW_BYTES = 200 * 1024;

  /** Number of parts that a section is never split beyond. */
  public static final int MAX_PARTS = 64;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Rows() {}

  /**
   * The head row.
   *
   * @param versions versions of the sections by name
   */
  public record Head(long version, Map<String, Long> versions, String changeId) {}

  /**
   * The row of a section.
   *
   * @param headVersion version of the document since the last change of this section
   * @param content the section, null if it is stored in parts
   * @param parts SHA-256 of each part, empty if the section is stored in this row
   */
  public record SectionRow(
      long version,
      long headVersion,
      String changeId,
      String digest,
      String who,
      long whenMs,
      String reason,
      List<String> editors,
      @Nullable ObjectNode content,
      List<String> parts) {}

  /** Returns the key of the row of a section. */
  public static String section(Section section) {
    return "config/" + section.wireName();
  }

  /** Returns the key of a numbered part of a section. */
  public static String part(Section section, int number) {
    return String.format(Locale.ROOT, "config/%s/part/%02d", section.wireName(), number);
  }

  /** Returns the key of the audit row of a head version; key order is version order. */
  public static String audit(long headVersion) {
    return String.format(Locale.ROOT, "audit/%012d", headVersion);
  }

  /** Returns a row value as JSON text. */
  public static String json(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a row can always be written", e);
    }
  }

  /** Returns the size of a row value. */
  public static int size(String value) {
    return value.getBytes(StandardCharsets.UTF_8).length;
  }

  /** Parses a row value. */
  public static <T> Either<Failure, T> parse(String key, String json, Class<T> type) {
    try {
      return Either.right(MAPPER.readValue(json, type));
    } catch (JsonProcessingException e) {
      String m = "row " + key + " can't be read: " + e.getOriginalMessage();
      return Either.left(Failure.of(ErrorKind.INTERNAL, m));
    }
  }
}

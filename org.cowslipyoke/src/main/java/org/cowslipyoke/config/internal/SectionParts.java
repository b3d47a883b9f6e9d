package org.cowslipyoke.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/**
 * Splits a section that is too large for one row. An entry such as an organisation belongs to a
 * part by the hash of its name, so a change of one entry rewrites one part only.
 */
public final class SectionParts {

  private SectionParts() {}

  /**
   * Returns the parts as JSON texts, at least as many as before, so that entries stay where they
   * are. Empty if the section fits its own row.
   */
  public static Either<Failure, List<String>> split(ObjectNode content, int partsBefore) {
    if (Rows.size(content.toString()) <= Rows.MAX_ROW_BYTES / 2) {
      return Either.right(List.of());
    }
    for (int n = Math.max(2, partsBefore); n <= Rows.MAX_PARTS; n *= 2) {
      List<String> parts = partsOf(content, n);
      if (parts.stream().allMatch(p -> Rows.size(p) <= Rows.MAX_ROW_BYTES)) {
        return Either.right(parts);
      }
    }
    String m = "the section does not fit " + Rows.MAX_PARTS + " rows of 200 KiB";
    return Either.left(Failure.of(ErrorKind.TOO_LARGE, m));
  }

  /** Returns the content that the parts hold. */
  public static ObjectNode join(List<ObjectNode> parts) {
    ObjectNode content = JsonNodeFactory.instance.objectNode();
    for (ObjectNode p : parts) {
      for (Map.Entry<String, JsonNode> field : p.properties()) {
        if (content.get(field.getKey()) instanceof ObjectNode present
            && field.getValue() instanceof ObjectNode more) {
          present.setAll(more);
        } else {
          content.set(field.getKey(), field.getValue());
        }
      }
    }
    return content;
  }

  private static List<String> partsOf(ObjectNode content, int count) {
    List<ObjectNode> parts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      parts.add(JsonNodeFactory.instance.objectNode());
    }
    for (Map.Entry<String, JsonNode> field : content.properties()) {
      if (!(field.getValue() instanceof ObjectNode entries)) {
        parts.get(0).set(field.getKey(), field.getValue());
        continue;
      }
      parts.forEach(p -> p.putObject(field.getKey()));
      for (Map.Entry<String, JsonNode> e : entries.properties()) {
        int i = Math.floorMod(e.getKey().hashCode(), count);
        ((ObjectNode) parts.get(i).get(field.getKey())).set(e.getKey(), e.getValue());
      }
    }
    return parts.stream().map(ObjectNode::toString).toList();
  }
}

package org.cowslipyoke.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.DecimalNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.config.SectionDiff;

/** Compares sections by meaning: neither the order of lists nor the form of numbers has one. */
final class SemanticDiff {

  private SemanticDiff() {}

  static List<String> lines(Optional<ObjectNode> from, ObjectNode to) {
    ObjectNode before = from.orElseGet(JsonNodeFactory.instance::objectNode);
    return SectionDiff.between(object(before), object(to)).lines();
  }

  private static ObjectNode object(ObjectNode n) {
    ObjectNode o = JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> e : n.properties()) {
      o.set(e.getKey(), canonical(e.getValue()));
    }
    return o;
  }

  private static JsonNode canonical(JsonNode n) {
    if (n instanceof ObjectNode o) {
      return object(o);
    }
    if (n.isNumber()) {
      BigDecimal d = n.decimalValue().stripTrailingZeros();
      return DecimalNode.valueOf(d.setScale(Math.max(0, d.scale())));
    }
    if (!n.isArray()) {
      return n;
    }
    List<JsonNode> items = new ArrayList<>();
    n.forEach(i -> items.add(canonical(i)));
    items.sort(Comparator.comparing(JsonNode::toString));
    ArrayNode sorted = JsonNodeFactory.instance.arrayNode();
    return sorted.addAll(items);
  }
}

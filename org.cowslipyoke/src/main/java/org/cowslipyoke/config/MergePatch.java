package org.cowslipyoke.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;

/** JSON merge patch (RFC 7396): apply, difference and composition. Arguments are not modified. */
public final class MergePatch {

  private MergePatch() {}

  /** Returns the target with the patch applied; unchanged parts are shared with the target. */
  public static JsonNode apply(JsonNode target, JsonNode patch) {
    if (!patch.isObject()) {
      return patch;
    }
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    if (target.isObject()) {
      result.setAll((ObjectNode) target);
    }
    for (Map.Entry<String, JsonNode> e : patch.properties()) {
      if (e.getValue().isNull()) {
        result.remove(e.getKey());
      } else {
        JsonNode old = result.get(e.getKey());
        JsonNode base = old == null ? NullNode.getInstance() : old;
        result.set(e.getKey(), apply(base, e.getValue()));
      }
    }
    return result;
  }

  /** Returns the patch that makes the second object from the first; no value may be null. */
  public static ObjectNode diff(ObjectNode from, ObjectNode to) {
    ObjectNode patch = JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> e : from.properties()) {
      if (!to.has(e.getKey())) {
        patch.putNull(e.getKey());
      }
    }
    for (Map.Entry<String, JsonNode> e : to.properties()) {
      JsonNode before = from.get(e.getKey());
      JsonNode after = e.getValue();
      if (before == null) {
        patch.set(e.getKey(), after);
      } else if (before.isObject() && after.isObject()) {
        ObjectNode inner = diff((ObjectNode) before, (ObjectNode) after);
        if (!inner.isEmpty()) {
          patch.set(e.getKey(), inner);
        }
      } else if (!before.equals(after)) {
        patch.set(e.getKey(), after);
      }
    }
    return patch;
  }

  /**
   * Returns one patch with the effect of both in order. Empty if there is no such patch: a merge
   * patch can't express that an object was removed and another one was put in its place.
   */
  public static Optional<ObjectNode> compose(ObjectNode first, ObjectNode second) {
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.setAll(first);
    for (Map.Entry<String, JsonNode> e : second.properties()) {
      JsonNode before = result.get(e.getKey());
      JsonNode after = e.getValue();
      if (before == null || !after.isObject()) {
        result.set(e.getKey(), after);
      } else if (!before.isObject()) {
        return Optional.empty();
      } else {
        Optional<ObjectNode> inner = compose((ObjectNode) before, (ObjectNode) after);
        if (inner.isEmpty()) {
          return Optional.empty();
        }
        result.set(e.getKey(), inner.get());
      }
    }
    return Optional.of(result);
  }
}

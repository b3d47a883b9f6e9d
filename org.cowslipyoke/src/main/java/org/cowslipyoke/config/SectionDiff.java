package org.cowslipyoke.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The difference between two versions of a section, one line per changed value. */
public final class SectionDiff {

  /** Characters of a value that a line repeats. */
  private static final int MAX_VALUE = 120;

  private final List<String> lines;

  private SectionDiff(List<String> lines) {
    this.lines = List.copyOf(lines);
  }

  /** Compares two versions. */
  public static SectionDiff between(ObjectNode from, ObjectNode to) {
    List<String> lines = new ArrayList<>();
    collect("", from, MergePatch.diff(from, to), lines);
    return new SectionDiff(lines);
  }

  /** Returns whether both versions are equal. */
  public boolean isEmpty() {
    return lines.isEmpty();
  }

  /**
   * Returns the lines: {@code + path: value}, {@code - path: value}, {@code ~ path: old -> new}.
   */
  public List<String> lines() {
    return lines;
  }

  private static void collect(String path, JsonNode from, JsonNode patch, List<String> lines) {
    for (Map.Entry<String, JsonNode> e : patch.properties()) {
      String at = path + "/" + e.getKey();
      JsonNode before = from.get(e.getKey());
      JsonNode after = e.getValue();
      if (before == null) {
        lines.add("+ " + at + ": " + shown(after));
      } else if (after.isNull()) {
        lines.add("- " + at + ": " + shown(before));
      } else if (before.isObject() && after.isObject()) {
        collect(at, before, after, lines);
      } else {
        lines.add("~ " + at + ": " + shown(before) + " -> " + shown(after));
      }
    }
  }

  private static String shown(JsonNode value) {
    String text = value.toString();
    return text.length() <= MAX_VALUE ? text : text.substring(0, MAX_VALUE) + "...";
  }
}

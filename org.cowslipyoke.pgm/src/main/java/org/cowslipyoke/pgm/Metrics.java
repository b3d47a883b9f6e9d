package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The values of a Prometheus text page that {@code status} shows. */
final class Metrics {

  private static final String PREFIX = "cowslipyoke_";

  /** Words in names of metrics that the table shows: allowance, queue and links. */
  private static final List<String> SHOWN = List.of("allowance", "queued", "queue_", "link");

  private final Map<String, Double> values;

  private Metrics(Map<String, Double> values) {
    this.values = values;
  }

  /** Parses the page; lines of other programs and comments are left out. */
  static Metrics parse(String page) {
    Map<String, Double> values = new TreeMap<>();
    for (String line : page.split("\n", -1)) {
      int end = line.lastIndexOf(' ');
      if (!line.startsWith(PREFIX) || end < 0) {
        continue;
      }
      try {
        values.put(line.substring(PREFIX.length(), end), Double.parseDouble(line.substring(end)));
      } catch (NumberFormatException e) {
        // not a sample
      }
    }
    return new Metrics(values);
  }

  ObjectNode toJson() {
    ObjectNode n = JsonNodeFactory.instance.objectNode();
    values.forEach(n::put);
    return n;
  }

  /** Returns allowance, queue and link values in one line; zero values are left out. */
  String summary() {
    List<String> parts = new ArrayList<>();
    values.forEach(
        (name, v) -> {
          if (v != 0 && SHOWN.stream().anyMatch(name::contains) && !name.contains("_bucket")) {
            parts.add(name + "=" + (v == Math.rint(v) ? String.valueOf(v.longValue()) : v));
          }
        });
    return String.join(" ", parts);
  }
}

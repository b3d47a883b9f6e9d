package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Metric values of a daemon, parsed from Prometheus text format for {@code status}. */
final class Metrics {

  private static final String PREFIX = "cowslipyoke_";

  /**
   * Parts of the names of the metrics in the summary: allowance, queue, links, rollouts, and
   * servers that are leaving or want no requests for a time.
   */
  private static final List<String> SUMMARY_NAME_PARTS =
      List.of("allowance", "queued", "queue_", "link", "rollout_", "servers_");

  private final Map<String, Double> values;

  private Metrics(Map<String, Double> values) {
    this.values = values;
  }

  /** Parses a metrics page; skips comments and metrics without the prefix of this system. */
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
        // The line is not a sample.
      }
    }
    return new Metrics(values);
  }

  ObjectNode toJson() {
    ObjectNode n = JsonNodeFactory.instance.objectNode();
    values.forEach(n::put);
    return n;
  }

  /** Returns the non-zero metrics of the summary except buckets, on one line. */
  String summary() {
    List<String> parts = new ArrayList<>();
    values.forEach(
        (name, v) -> {
          if (v != 0
              && SUMMARY_NAME_PARTS.stream().anyMatch(name::contains)
              && !name.contains("_bucket")) {
            parts.add(name + "=" + (v == Math.rint(v) ? String.valueOf(v.longValue()) : v));
          }
        });
    return String.join(" ", parts);
  }
}

package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Results of one run. Thread-safe. */
final class Tally {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Latencies above this are recorded as this. */
  private static final long MAX_MS = 600_000;

  private final Histogram ttftMs = new Histogram(MAX_MS, 3);
  private final Histogram tbtMs = new Histogram(MAX_MS, 3);
  private final Map<String, Integer> errors = new TreeMap<>();
  private int answered;
  private int notRun;
  private int unknown;
  private int failed;

  /** Counts one answer. */
  synchronized void add(Answer answer) {
    if (!answer.isComplete()) {
      addError(answer);
      return;
    }
    answered++;
    ttftMs.recordValue(Math.min(MAX_MS, Math.max(0, answer.ttftMs())));
    for (long gap : answer.gapsMs()) {
      tbtMs.recordValue(Math.min(MAX_MS, gap));
    }
  }

  private void addError(Answer answer) {
    errors.merge(answer.errorKind(), 1, Integer::sum);
    switch (answer.outcome()) {
      case "not_run" -> notRun++;
      case "unknown" -> unknown++;
      default -> failed++;
    }
  }

  synchronized void writeTo(ObjectNode node) {
    node.set("ttft_ms", percentiles(ttftMs));
    node.set("tbt_ms", percentiles(tbtMs));
    node.put("answered", answered);
    node.put("not_run", notRun);
    node.put("unknown", unknown);
    node.put("failed", failed);
    node.set("errors", JSON.valueToTree(errors));
  }

  private static ObjectNode percentiles(Histogram histogram) {
    ObjectNode node = JSON.createObjectNode();
    for (int p : List.of(50, 95, 99)) {
      node.put("p" + p, histogram.getValueAtPercentile(p));
    }
    return node;
  }
}

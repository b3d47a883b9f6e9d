package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;

/** Counts new work in intervals of 100 ms; guarded by its owner. */
final class NewWorkCounter {

  private static final long INTERVAL_MS = 100;

  /** Maximum number of intervals kept; ten minutes if each contains new work. */
  private static final int MAX_INTERVALS = 6_000;

  private final TreeMap<Long, Integer> counts = new TreeMap<>();
  private long total;

  void add() {
    total++;
    long now = System.currentTimeMillis();
    counts.merge(now - now % INTERVAL_MS, 1, Integer::sum);
    if (counts.size() > MAX_INTERVALS) {
      counts.pollFirstEntry();
    }
  }

  void write(ObjectNode out) {
    out.put("newWorkTotal", total);
    ArrayNode steps = out.putArray("newWork");
    counts.forEach((at, n) -> steps.addArray().add(at).add(n));
  }
}

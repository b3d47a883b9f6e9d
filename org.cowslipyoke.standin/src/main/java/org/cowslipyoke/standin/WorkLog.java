package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;

/** Counts new work by time, in steps of 100 ms; guarded by its owner. */
final class WorkLog {

  private static final long STEP_MS = 100;

  /** Ten minutes. */
  private static final int MAX_STEPS = 6_000;

  private final TreeMap<Long, Integer> counts = new TreeMap<>();
  private long total;

  void add() {
    total++;
    long now = System.currentTimeMillis();
    counts.merge(now - now % STEP_MS, 1, Integer::sum);
    if (counts.size() > MAX_STEPS) {
      counts.pollFirstEntry();
    }
  }

  void write(ObjectNode out) {
    out.put("newWorkTotal", total);
    ArrayNode steps = out.putArray("newWork");
    counts.forEach((at, n) -> steps.addArray().add(at).add(n));
  }
}

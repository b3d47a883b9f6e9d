package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Cold start of an engine; guarded by the engine model. The engine bears an allowance of runs that
 * were submitted since it became cold. The allowance doubles after as many of them have ended; at
 * the batch limit the engine is warm.
 */
final class ColdStart {

  private final int initial;
  private final int maxBatch;
  private final long graceNs;
  private boolean cold;
  private int allowance;
  private int active;
  private int completed;
  private long sinceNs;
  private int maxActive;
  private int maxActiveAfterGrace;
  private long starts;

  ColdStart(int initial, int maxBatch, long graceMs) {
    this.initial = initial;
    this.maxBatch = maxBatch;
    this.graceNs = graceMs * 1_000_000;
  }

  void begin() {
    cold = true;
    allowance = initial;
    active = 0;
    completed = 0;
    sinceNs = System.nanoTime();
    starts++;
  }

  boolean isCold() {
    return cold;
  }

  /** Counts a submitted run; returns whether the engine bears it. */
  boolean submit() {
    active++;
    maxActive = Math.max(maxActive, active);
    boolean afterGrace = System.nanoTime() - sinceNs > graceNs;
    if (afterGrace) {
      maxActiveAfterGrace = Math.max(maxActiveAfterGrace, active);
    }
    return active <= allowance || !afterGrace;
  }

  void end() {
    active = Math.max(0, active - 1);
    completed++;
    if (cold && completed >= allowance) {
      completed = 0;
      allowance *= 2;
      cold = allowance < maxBatch;
    }
  }

  void stats(ObjectNode out) {
    out.put("cold", cold).put("coldStarts", starts).put("coldAllowance", allowance);
    out.put("maxConcurrencyWhileCold", maxActive);
    out.put("maxConcurrencyWhileColdAfterGrace", maxActiveAfterGrace);
  }
}

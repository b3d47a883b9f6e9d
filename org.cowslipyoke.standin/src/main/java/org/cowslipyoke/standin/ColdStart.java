package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Cold-start state of an engine, guarded by the engine model. A cold engine tolerates only a
 * limited number of active runs that were submitted since it became cold, the allowance. The
 * allowance doubles each time as many of these runs have ended; when it reaches the batch limit,
 * the engine is warm.
 */
final class ColdStart {

  private final int initialAllowance;
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

  ColdStart(int initialAllowance, int maxBatch, long graceMs) {
    this.initialAllowance = initialAllowance;
    this.maxBatch = maxBatch;
    this.graceNs = graceMs * 1_000_000;
  }

  void begin() {
    cold = true;
    allowance = initialAllowance;
    active = 0;
    completed = 0;
    sinceNs = System.nanoTime();
    starts++;
  }

  boolean isCold() {
    return cold;
  }

  /** Adds an active run; returns false if it exceeds the allowance after the grace period. */
  boolean addRun() {
    active++;
    maxActive = Math.max(maxActive, active);
    boolean afterGrace = System.nanoTime() - sinceNs > graceNs;
    if (afterGrace) {
      maxActiveAfterGrace = Math.max(maxActiveAfterGrace, active);
    }
    return active <= allowance || !afterGrace;
  }

  void endRun() {
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

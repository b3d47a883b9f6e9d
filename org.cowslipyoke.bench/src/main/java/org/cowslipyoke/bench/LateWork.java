package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;

/** Counts requests that reached the backend servers of a failure domain after it was taken out. */
final class LateWork {

  /** Time in which a change must be in force. */
  static final long BOUND_MS = 3000;

  private final Deployment deployment;
  private long late;

  LateWork(Deployment deployment) {
    this.deployment = deployment;
  }

  /**
   * Returns the requests that the backend servers of a failure domain accepted in a span.
   *
   * @param fromMs start in milliseconds since the epoch
   */
  long accepted(String failureDomain, long fromMs, long toMs) {
    long count = 0;
    for (Deployment.Server server : deployment.servers()) {
      if (server.failureDomain().equals(failureDomain)) {
        for (JsonNode step : deployment.stats(server.backend()).path("newWork")) {
          long at = step.path(0).asLong();
          count += at >= fromMs && at < toMs ? step.path(1).asLong() : 0;
        }
      }
    }
    return count;
  }

  /** Adds the requests that came more than the bound after the failure domain was taken out. */
  void add(String failureDomain, long outMs, long inMs) {
    late += accepted(failureDomain, outMs + BOUND_MS, inMs);
  }

  long late() {
    return late;
  }
}

package org.cowslipyoke.relay;

/**
 * Capacity and load of the servers that run a service in one failure domain.
 *
 * @param servers servers that can be used
 * @param expectedMs time that a request is expected to take at the best of them beyond what it
 *     takes at an idle one: queue, failures and, for a plain service, the response time
 * @param queueMs part of it that is caused by the load
 * @param occupancy requests in flight from all entries as a fraction of the slots
 */
record DomainPressure(int servers, double expectedMs, double queueMs, double occupancy) {

  /** A failure domain without a usable server. */
  static final DomainPressure NONE = new DomainPressure(0, 0, 0, 1);

  /** Returns the capacity that its own callers leave, in servers. */
  double spareServers() {
    return servers * Math.max(0, 1 - occupancy);
  }
}

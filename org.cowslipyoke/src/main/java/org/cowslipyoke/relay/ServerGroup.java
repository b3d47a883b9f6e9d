package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * The group of backend servers that run one service.
 *
 * @param name name of the service
 * @param maxConnections maximum connections of one server, from all entries together
 * @param coldRequestsPerSecond requests per second that a server in cold start accepts from all
 *     entries together; 0 for no limit
 * @param engine capacities of its model engines, null if the service runs no model
 */
public record ServerGroup(
    String name, int maxConnections, double coldRequestsPerSecond, @Nullable EngineConfig engine) {

  /**
   * Capacities of a model engine.
   *
   * @param slots maximum number of concurrently running requests
   * @param cacheTokens capacity of its memory in tokens
   * @param bytesPerToken size of the KV cache of one token in bytes
   * @param linkMbps bandwidth of its network link in megabits per second
   * @param maxEventReaders maximum concurrent requests for cache events, 0 if not stated
   * @param managedCache whether each part of a prompt may have its own source and target
   * @param backups whether engines copy the memory of a run to another engine as it grows
   * @param copyMs time for which a copy is kept after its last part was received, in milliseconds
   */
  public record EngineConfig(
      int slots,
      long cacheTokens,
      long bytesPerToken,
      double linkMbps,
      int maxEventReaders,
      boolean managedCache,
      boolean backups,
      long copyMs) {

    /** Creates the capacities of an engine that copies no runs. */
    public EngineConfig(
        int slots,
        long cacheTokens,
        long bytesPerToken,
        double linkMbps,
        int maxEventReaders,
        boolean managedCache) {
      this(slots, cacheTokens, bytesPerToken, linkMbps, maxEventReaders, managedCache, false, 0);
    }
  }
}

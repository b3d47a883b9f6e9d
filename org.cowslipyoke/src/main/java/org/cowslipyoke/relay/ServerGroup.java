package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * A service of the desired state.
 *
 * @param maxConnections connections that one server accepts from all callers together
 * @param coldRequestsPerSecond requests a second that a cold server bears, from all entries
 *     together; 0 if its servers need no protection
 * @param engine figures of its model engines, null for a plain service
 */
public record ServerGroup(
    String name, int maxConnections, double coldRequestsPerSecond, @Nullable EngineConfig engine) {

  /**
   * Figures of a model engine.
   *
   * @param slots requests run at once
   * @param cacheTokens tokens that fit its memory
   * @param bytesPerToken size of the KV cache of a token
   * @param linkMbps rate of its link
   * @param maxEventReaders calls for cache events that an engine bears at once, 0 if not stated
   * @param managedCache whether each part of a prompt may be fetched from a place of its own
   */
  public record EngineConfig(
      int slots,
      long cacheTokens,
      long bytesPerToken,
      double linkMbps,
      int maxEventReaders,
      boolean managedCache) {}
}

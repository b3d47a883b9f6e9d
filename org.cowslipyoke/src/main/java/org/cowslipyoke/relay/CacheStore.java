package org.cowslipyoke.relay;

/**
 * A KV cache store.
 *
 * @param address host and port
 * @param cacheTokens capacity in tokens
 * @param linkMbps bandwidth of its network link in megabits per second
 * @param latencyMs fixed delay of each transfer in milliseconds, in addition to the time for its
 *     bytes
 * @param maxEventReaders maximum concurrent requests for cache events, 0 if not stated
 * @param managed whether the store evicts nothing on its own
 */
public record CacheStore(
    String name,
    String address,
    String failureDomain,
    long cacheTokens,
    double linkMbps,
    double latencyMs,
    int maxEventReaders,
    boolean managed) {}

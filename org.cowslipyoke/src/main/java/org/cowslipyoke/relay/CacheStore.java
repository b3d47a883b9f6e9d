package org.cowslipyoke.relay;

/**
 * A store of KV cache.
 *
 * @param address host and port
 * @param cacheTokens tokens that fit it
 * @param firstMs delay of each transfer in addition to its length
 * @param maxEventReaders calls for cache events that the store bears at once, 0 if not stated
 * @param managed whether the store drops nothing by itself
 */
public record CacheStore(
    String name,
    String address,
    String failureDomain,
    long cacheTokens,
    double linkMbps,
    double firstMs,
    int maxEventReaders,
    boolean managed) {}

package org.cowslipyoke.relay;

import java.util.List;
import java.util.Map;

/**
 * One version of the configuration that operators have set; applied atomically.
 *
 * @param version version number, which only increases
 * @param groups server groups by service name
 * @param stores KV cache stores
 * @param requiresKeys whether requests need a key, except on open routes
 * @param keys policy of the owning organisation by key
 * @param isolation separation of the KV cache of organisations
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param callerIdleTimeoutMs idle time-out of callers' connections in milliseconds
 * @param callerLimits limits of the heads of callers' requests
 */
public record DesiredState(
    long version,
    RouteTable routes,
    Map<String, ServerGroup> groups,
    List<CacheStore> stores,
    boolean requiresKeys,
    Map<String, OrganisationPolicy> keys,
    CacheIsolation isolation,
    int maxBodyBytes,
    long callerIdleTimeoutMs,
    CallerLimits callerLimits) {

  /**
   * Limits of the heads of callers' requests.
   *
   * @param maxHeaderBytes maximum size of a head in bytes
   * @param headerTimeoutMs time in which a head has to arrive, in milliseconds
   */
  public record CallerLimits(int maxHeaderBytes, long headerTimeoutMs) {
    /** Limits of operators who set none. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 10_000);
  }

  /** Creates a desired state with default limits for heads. */
  public DesiredState(
      long version,
      RouteTable routes,
      Map<String, ServerGroup> groups,
      List<CacheStore> stores,
      boolean requiresKeys,
      Map<String, OrganisationPolicy> keys,
      CacheIsolation isolation,
      int maxBodyBytes,
      long callerIdleTimeoutMs) {
    this(
        version,
        routes,
        groups,
        stores,
        requiresKeys,
        keys,
        isolation,
        maxBodyBytes,
        callerIdleTimeoutMs,
        CallerLimits.DEFAULT);
  }
}

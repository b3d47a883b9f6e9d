package org.cowslipyoke.relay;

import java.util.List;
import java.util.Map;

/**
 * One version of what operators want, put in force as a whole.
 *
 * @param groups services by name
 * @param keyed whether requests need a key unless their route is open
 * @param keys what each key gives access to
 * @param maxBodyBytes largest body of a request
 * @param callerIdleMs time for which callers may keep a connection idle
 */
public record DesiredState(
    long version,
    RouteTable routes,
    Map<String, ServerGroup> groups,
    List<CacheStore> stores,
    boolean keyed,
    Map<String, OrganisationPolicy> keys,
    int maxBodyBytes,
    long callerIdleMs) {}

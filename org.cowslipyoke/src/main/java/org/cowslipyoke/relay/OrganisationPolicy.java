package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * What a key gives access to.
 *
 * @param organisation name of the organisation that holds the key
 * @param priority rank of its requests that goes before the route's, null if it has none
 * @param isolatedCache whether it shares no KV cache with other organisations
 */
public record OrganisationPolicy(
    String organisation, @Nullable Integer priority, boolean isolatedCache) {}

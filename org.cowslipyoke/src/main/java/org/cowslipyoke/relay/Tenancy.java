package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * What a key gives access to.
 *
 * @param organisation name of the organisation that holds the key
 * @param priority rank of its requests that goes before the route's, null if it has none
 * @param walled whether it shares no KV cache with other organisations
 */
public record Tenancy(String organisation, @Nullable Integer priority, boolean walled) {}

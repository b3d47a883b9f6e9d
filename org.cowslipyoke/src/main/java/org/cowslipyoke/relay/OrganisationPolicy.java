package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * Policy for the requests of an organisation.
 *
 * @param organisation name of the organisation
 * @param priority priority of its requests, which overrides the route's; null if it has none
 * @param isolatedCache whether its KV cache is isolated from other organisations
 */
public record OrganisationPolicy(
    String organisation, @Nullable Integer priority, boolean isolatedCache) {}

package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * Policy for the requests of an organisation.
 *
 * @param organisation name of the organisation
 * @param priority priority of its requests, which overrides the route's; null if it has none
 */
public record OrganisationPolicy(String organisation, @Nullable Integer priority) {}

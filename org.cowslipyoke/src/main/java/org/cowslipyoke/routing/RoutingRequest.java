package org.cowslipyoke.routing;

/**
 * The properties of a request by which it is routed.
 *
 * @param organisation organisation that sent the request
 * @param model model name
 * @param placementKey bytes to hash for the choice of servers; equal for all requests of a
 *     conversation
 * @param promptTokens number of tokens of the prompt
 */
public record RoutingRequest(
    String organisation, String model, byte[] placementKey, int promptTokens) {}

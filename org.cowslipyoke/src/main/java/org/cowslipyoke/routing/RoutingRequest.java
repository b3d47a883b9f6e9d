package org.cowslipyoke.routing;

/**
 * What routing knows about a request.
 *
 * @param organisation owner of the request
 * @param model model name
 * @param placementKey bytes that the same conversation always gives
 * @param promptTokens tokens of the prompt
 */
public record RoutingRequest(
    String organisation, String model, byte[] placementKey, int promptTokens) {}

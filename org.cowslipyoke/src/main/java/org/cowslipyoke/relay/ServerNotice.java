package org.cowslipyoke.relay;

/**
 * What a server states about itself in the head of a response.
 *
 * @param status status of the response
 * @param notRun whether the server states that it did not run the request
 * @param leaving whether the server states that it is shutting down
 * @param retryAfterMs time for which the server wants no requests of this entry, in milliseconds; 0
 *     if not stated or not valid
 */
public record ServerNotice(int status, boolean notRun, boolean leaving, long retryAfterMs) {}

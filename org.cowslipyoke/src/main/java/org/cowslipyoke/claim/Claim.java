package org.cowslipyoke.claim;

/**
 * A claim of an idempotency key, written for one request.
 *
 * @param rowKey key of the row in the table
 * @param token random token of the claimant, by which it recognises its own row after the response
 *     to a transaction was lost
 * @param digest digest of the request
 * @param termEndWallMs wall time in milliseconds after which an unfinished claim is reported as
 *     {@code OUTCOME_UNKNOWN}
 * @param rowVersion version of the row that the claim wrote
 */
public record Claim(
    String rowKey, String token, String digest, long termEndWallMs, long rowVersion) {}

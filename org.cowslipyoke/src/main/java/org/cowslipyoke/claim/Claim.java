package org.cowslipyoke.claim;

/**
 * A granted claim.
 *
 * @param rowKey key of the row in the table
 * @param token random token of the claimant, by which a lost answer is recognised
 * @param digest digest of the request
 * @param termEndWallMs wall time after which an unfinished claim reads {@code OUTCOME_UNKNOWN}
 * @param rowVersion version of the row that the claim wrote
 */
public record Claim(
    String rowKey, String token, String digest, long termEndWallMs, long rowVersion) {}

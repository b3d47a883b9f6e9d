package org.cowslipyoke.claim;

import org.cowslipyoke.util.Digests;

/**
 * A request for a claim.
 *
 * @param key idempotency key of the caller
 * @param digest digest of the request, so that a reuse of the key for other work is noticed
 * @param termMs milliseconds until an unfinished claim reads {@code OUTCOME_UNKNOWN}
 */
public record ClaimRequest(String organisation, String key, String digest, long termMs) {

  /** Returns the key of the row; the organisation is a part, so keys of others are never met. */
  public String rowKey() {
    return "claim/" + organisation + "/" + Digests.sha256Hex(key);
  }
}

package org.cowslipyoke.claim;

import org.cowslipyoke.util.Digests;

/**
 * A request to claim an idempotency key.
 *
 * @param key idempotency key of the caller
 * @param digest digest of the request, by which reuse of the key for another request is detected
 * @param termMs milliseconds after which an unfinished claim is reported as {@code OUTCOME_UNKNOWN}
 */
public record ClaimRequest(String organisation, String key, String digest, long termMs) {

  /**
   * Returns the key of the row. It includes the organisation, so that organisations never share.
   */
  public String rowKey() {
    return "claim/" + organisation + "/" + Digests.sha256Hex(key);
  }
}

package org.cowslipyoke.claim;

import org.cowslipyoke.errors.Failure;

/** Decision of the claim ledger about a request with an idempotency key. */
public sealed interface ClaimDecision {

  /** The claim is committed; the request may be sent once. */
  record Granted(Claim claim) implements ClaimDecision {}

  /** An earlier request with the same key and digest has finished; its answer is sent again. */
  record Recorded(byte[] answer) implements ClaimDecision {}

  /** The request must not be sent. */
  record Rejected(Failure failure) implements ClaimDecision {}
}

package org.cowslipyoke.request;

import java.util.List;

/**
 * A complete answer of a model whose token count and checksum were verified.
 *
 * @param server name of the VM that finished the answer
 * @param pieces text of each token
 * @param finishReason {@code stop} or {@code length}
 * @param reusedTokens prompt tokens that the first run took from the KV cache instead of computing
 *     them
 */
public record Completion(
    String server, List<String> pieces, String finishReason, int reusedTokens) {}

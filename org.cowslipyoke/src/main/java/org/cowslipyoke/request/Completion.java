package org.cowslipyoke.request;

import java.util.List;

/**
 * A whole, checked answer of a model.
 *
 * @param server VM that finished the answer
 * @param pieces text of each token
 * @param finishReason {@code stop} or {@code length}
 * @param reusedTokens prompt tokens that were not computed again by the first run
 */
public record Completion(
    String server, List<String> pieces, String finishReason, int reusedTokens) {}

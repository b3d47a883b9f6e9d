package org.cowslipyoke.relay;

import java.util.List;

/**
 * Where a prompt goes and where its kept parts come from.
 *
 * @param weights version of the weights that the request expects
 * @param salt text under which the engine shares the parts
 * @param unreadTokens prompt tokens that the engine has to read itself
 * @param residentTokens tokens that the request keeps in the engine's memory
 * @param estimateMs expected time to the first token
 * @param sources for each part the address to fetch it from, empty for none
 * @param targets for each part the address of the store to save it to, empty for none
 */
public record PromptPlan(
    BackendServer server,
    int weights,
    String salt,
    int unreadTokens,
    long residentTokens,
    double estimateMs,
    List<String> sources,
    List<String> targets) {}

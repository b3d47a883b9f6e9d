package org.cowslipyoke.relay;

import java.util.List;
import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Where a prompt goes and where its kept parts come from.
 *
 * @param weights version of the weights that the request expects
 * @param salt text under which the engine shares the parts
 * @param estimateMs expected time to the first token
 * @param load work of all entries at the server without the prompt
 * @param sources for each part the address to fetch it from, empty for none
 * @param targets for each part the address of the store to save it to, empty for none
 */
public record PromptPlan(
    BackendServer server,
    int weights,
    String salt,
    PromptWork work,
    double estimateMs,
    Load load,
    List<String> sources,
    List<String> targets) {}

package org.cowslipyoke.relay;

import java.util.List;
import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Placement of a prompt: its server, and the nodes that its cached parts are fetched from and saved
 * to.
 *
 * @param weights version of the weights that the request expects
 * @param salt cache salt of the parts
 * @param work work that the prompt adds to the engine
 * @param estimateMs expected time to the first token in milliseconds
 * @param heldTokens leading tokens of the prompt that the server has cached
 * @param fetchedTokens tokens after them that it fetches
 * @param load load of the server from all entries, without the prompt
 * @param transfers transfers of its parts
 */
public record PromptPlan(
    BackendServer server,
    int weights,
    String salt,
    PromptWork work,
    double estimateMs,
    int heldTokens,
    int fetchedTokens,
    Load load,
    CacheTransfers transfers) {

  /** Returns for each part the address of the node to fetch it from, empty for none. */
  public List<String> sources() {
    return transfers.sources();
  }

  /** Returns for each part the address of the store to save it to, empty for none. */
  public List<String> targets() {
    return transfers.targets();
  }
}

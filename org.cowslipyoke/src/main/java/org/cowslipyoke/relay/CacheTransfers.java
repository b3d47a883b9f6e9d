package org.cowslipyoke.relay;

import java.util.Collections;
import java.util.List;

/**
 * Transfers that a server makes for the parts of a prompt.
 *
 * @param parts ids of the parts in order
 * @param sources for each part the address of the node to fetch it from, empty for none
 * @param targets for each part the address of the store to save it to, empty for none
 * @param fetchUntilMs time on the servers' clock in milliseconds after which a fetch is discarded,
 *     {@link CacheContents#UNKNOWN_CLOCK} for no limit
 */
public record CacheTransfers(
    List<String> parts, List<String> sources, List<String> targets, long fetchUntilMs) {

  /** Returns a plan without transfers. */
  public static CacheTransfers none(List<String> parts) {
    List<String> none = Collections.nCopies(parts.size(), "");
    return new CacheTransfers(parts, none, none, CacheContents.UNKNOWN_CLOCK);
  }
}

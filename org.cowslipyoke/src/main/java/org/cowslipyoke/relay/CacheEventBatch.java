package org.cowslipyoke.relay;

import java.util.List;
import org.cowslipyoke.relay.CacheContents.Change;

/**
 * Cache events of one node that an entry has read and passes on to the others.
 *
 * @param address host and port of the node
 * @param epoch epoch of the node
 * @param since number after which events were requested, 0 for all
 * @param next number after which to request the following events
 * @param ageMs time since the request was sent, in milliseconds
 * @param clockMs time of the response on the servers' clock in milliseconds, {@link
 *     CacheContents#UNKNOWN_CLOCK} if not stated
 */
public record CacheEventBatch(
    String address,
    long epoch,
    long since,
    long next,
    long ageMs,
    long clockMs,
    List<Change> changes) {}

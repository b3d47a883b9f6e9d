package org.cowslipyoke.failover;

import org.cowslipyoke.relay.BackendServer;

/**
 * Copy of the memory of a run at another server.
 *
 * @param server server that gets or holds the copy
 * @param resumed whether the run goes on from the copy; otherwise it is being copied
 */
public record RunCopy(BackendServer server, boolean resumed) {}

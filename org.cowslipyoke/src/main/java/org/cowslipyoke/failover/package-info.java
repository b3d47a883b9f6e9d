/**
 * Failover of runs: which runs are copied to another server as they grow, when their server is
 * taken for lost, and how they go on from the copy.
 */
@NullMarked
package org.cowslipyoke.failover;

import org.jspecify.annotations.NullMarked;

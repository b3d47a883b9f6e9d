/**
 * Rollouts of software versions of backend servers: steps, traffic shares, comparison of versions.
 * No I/O and no threads.
 */
@NullMarked
package org.cowslipyoke.rollout;

import org.jspecify.annotations.NullMarked;

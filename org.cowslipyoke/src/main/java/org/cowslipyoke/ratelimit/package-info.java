/**
 * Rates that servers in need name for all entries together, and their distribution over the
 * entries.
 */
@NullMarked
package org.cowslipyoke.ratelimit;

import org.jspecify.annotations.NullMarked;

/** Leases with fencing numbers, slots for loading weights, and detection of process pauses. */
@NullMarked
package org.cowslipyoke.lease;

import org.jspecify.annotations.NullMarked;

/** Leases with fencing numbers and the detection of pauses of the own process. */
@NullMarked
package org.cowslipyoke.lease;

import org.jspecify.annotations.NullMarked;

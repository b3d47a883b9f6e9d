/** The entry role: HTTP front end, probes, relay and plain services. */
@NullMarked
package org.cowslipyoke.daemon.entry;

import org.jspecify.annotations.NullMarked;

/** Passes requests of callers on to backend servers over HTTP, and their answers back. */
@NullMarked
package org.cowslipyoke.daemon.relay;

import org.jspecify.annotations.NullMarked;

/** Runtime that both roles share: settings, document exchange, readiness, metrics and shutdown. */
@NullMarked
package org.cowslipyoke.daemon.runtime;

import org.jspecify.annotations.NullMarked;

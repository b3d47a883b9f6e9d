/** Server role: admission, engine driver, transfer of KV blocks and calls of the plain service. */
@NullMarked
package org.cowslipyoke.daemon.server;

import org.jspecify.annotations.NullMarked;

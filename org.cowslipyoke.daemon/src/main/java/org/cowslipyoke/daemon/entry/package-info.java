/**
 * The entry role: HTTP front end, probing of servers, relay of responses and calls of plain
 * services.
 */
@NullMarked
package org.cowslipyoke.daemon.entry;

import org.jspecify.annotations.NullMarked;

/**
 * The server role: admission, execution of runs at the engine, transfer of KV blocks, weight swaps
 * and calls of plain services.
 */
@NullMarked
package org.cowslipyoke.daemon.server;

import org.jspecify.annotations.NullMarked;

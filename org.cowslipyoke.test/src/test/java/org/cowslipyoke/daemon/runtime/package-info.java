/** Tests of the runtime that both roles share. */
@NullMarked
package org.cowslipyoke.daemon.runtime;

import org.jspecify.annotations.NullMarked;

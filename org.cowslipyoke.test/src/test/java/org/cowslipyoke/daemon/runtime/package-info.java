/** Tests of what both roles share. */
@NullMarked
package org.cowslipyoke.daemon.runtime;

import org.jspecify.annotations.NullMarked;

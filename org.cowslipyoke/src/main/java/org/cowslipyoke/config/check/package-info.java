/** Checks of a configuration before it is applied. */
@NullMarked
package org.cowslipyoke.config.check;

import org.jspecify.annotations.NullMarked;

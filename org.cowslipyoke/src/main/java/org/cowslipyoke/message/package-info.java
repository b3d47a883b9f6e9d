/** Messages between the daemons. */
@NullMarked
package org.cowslipyoke.message;

import org.jspecify.annotations.NullMarked;

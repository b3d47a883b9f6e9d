/** Messages that daemons exchange over framed connections. */
@NullMarked
package org.cowslipyoke.message;

import org.jspecify.annotations.NullMarked;

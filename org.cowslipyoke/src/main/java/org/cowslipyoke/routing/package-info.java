/** Choice of a backend server for a request. */
@NullMarked
package org.cowslipyoke.routing;

import org.jspecify.annotations.NullMarked;

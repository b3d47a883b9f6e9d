/** Selection of a backend server for a request, and the budgets for retries and hedges. */
@NullMarked
package org.cowslipyoke.routing;

import org.jspecify.annotations.NullMarked;

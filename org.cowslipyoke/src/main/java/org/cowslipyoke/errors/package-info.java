/** The closed list of error kinds and the failures that carry them. */
@NullMarked
package org.cowslipyoke.errors;

import org.jspecify.annotations.NullMarked;

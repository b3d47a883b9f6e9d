/** The command-line tool of operators. */
@NullMarked
package org.cowslipyoke.pgm;

import org.jspecify.annotations.NullMarked;

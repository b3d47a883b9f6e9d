/** Command-line tool for operators. */
@NullMarked
package org.cowslipyoke.pgm;

import org.jspecify.annotations.NullMarked;

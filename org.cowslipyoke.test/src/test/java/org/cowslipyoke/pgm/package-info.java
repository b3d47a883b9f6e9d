/** Tests of the command-line tool. */
@NullMarked
package org.cowslipyoke.pgm;

import org.jspecify.annotations.NullMarked;

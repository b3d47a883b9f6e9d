/** The story of one request, read from the log lines of all processes. No I/O. */
@NullMarked
package org.cowslipyoke.pgm.story;

import org.jspecify.annotations.NullMarked;

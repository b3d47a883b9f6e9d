/**
 * Reconstructs what happened to one request from the log lines of all processes, and finds the most
 * likely cause of its outcome. Performs no I/O.
 */
@NullMarked
package org.cowslipyoke.pgm.story;

import org.jspecify.annotations.NullMarked;

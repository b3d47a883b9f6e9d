/**
 * Decides when an entry reads a table of the platform's store itself and when it relies on a read
 * by another entry.
 */
@NullMarked
package org.cowslipyoke.refresh;

import org.jspecify.annotations.NullMarked;

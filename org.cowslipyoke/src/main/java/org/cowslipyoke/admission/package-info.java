/** Decisions of a server daemon about which work it takes and when. */
@NullMarked
package org.cowslipyoke.admission;

import org.jspecify.annotations.NullMarked;

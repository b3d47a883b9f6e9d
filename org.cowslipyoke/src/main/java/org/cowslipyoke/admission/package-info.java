/** Admission control: which work a server or an entry accepts, and when the engine gets it. */
@NullMarked
package org.cowslipyoke.admission;

import org.jspecify.annotations.NullMarked;

/** Hand-written fakes that the tests of all modules share. */
@NullMarked
package org.cowslipyoke.fake;

import org.jspecify.annotations.NullMarked;

/** Measures how cost grows with size, as input of docs/CAPACITY.md. */
@NullMarked
package org.cowslipyoke.bench.slopes;

import org.jspecify.annotations.NullMarked;

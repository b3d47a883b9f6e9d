/** Clock, digests and rendezvous hashing. */
@NullMarked
package org.cowslipyoke.util;

import org.jspecify.annotations.NullMarked;

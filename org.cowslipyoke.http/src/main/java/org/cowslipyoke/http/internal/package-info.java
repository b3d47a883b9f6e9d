/** Parts of the clients that other modules must not use. */
@NullMarked
package org.cowslipyoke.http.internal;

import org.jspecify.annotations.NullMarked;

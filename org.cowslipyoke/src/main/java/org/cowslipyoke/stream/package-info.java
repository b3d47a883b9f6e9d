/**
 * Versions of server software that began streams. A stream may go on only at a server of the
 * version that began it.
 */
@NullMarked
package org.cowslipyoke.stream;

import org.jspecify.annotations.NullMarked;

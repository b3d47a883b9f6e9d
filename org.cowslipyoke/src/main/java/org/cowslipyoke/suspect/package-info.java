/** Requests that were in flight when an engine crashed. */
@NullMarked
package org.cowslipyoke.suspect;

import org.jspecify.annotations.NullMarked;

/** The state machines of one request at the entry. */
@NullMarked
package org.cowslipyoke.request;

import org.jspecify.annotations.NullMarked;

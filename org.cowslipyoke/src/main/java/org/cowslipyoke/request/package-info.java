/** State machines that carry one request or service call from the entry to a server. */
@NullMarked
package org.cowslipyoke.request;

import org.jspecify.annotations.NullMarked;

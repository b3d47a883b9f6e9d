/**
 * Admission, placement and retries of requests that an entry passes on to backend servers
 * unchanged.
 */
@NullMarked
package org.cowslipyoke.relay;

import org.jspecify.annotations.NullMarked;

/** Claims of idempotency keys, which are stored in the platform's table. */
@NullMarked
package org.cowslipyoke.claim;

import org.jspecify.annotations.NullMarked;

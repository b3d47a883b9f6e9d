/** Stand-ins of the platform's services with fault switches; see docs/platform.md. */
@NullMarked
package org.cowslipyoke.standin;

import org.jspecify.annotations.NullMarked;

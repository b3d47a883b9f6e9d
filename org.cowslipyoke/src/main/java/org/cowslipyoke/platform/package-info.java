/** Interfaces to the platform and to backend servers. */
@NullMarked
package org.cowslipyoke.platform;

import org.jspecify.annotations.NullMarked;

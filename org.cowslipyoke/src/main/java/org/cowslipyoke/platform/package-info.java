/** Interfaces to the platform's services and to backend servers. */
@NullMarked
package org.cowslipyoke.platform;

import org.jspecify.annotations.NullMarked;

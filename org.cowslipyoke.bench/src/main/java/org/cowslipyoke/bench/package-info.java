/** Launcher of local deployments, demonstration and load driver. */
@NullMarked
package org.cowslipyoke.bench;

import org.jspecify.annotations.NullMarked;

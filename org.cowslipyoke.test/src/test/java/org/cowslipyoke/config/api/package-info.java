/** Tests of the commands on the configuration. */
@NullMarked
package org.cowslipyoke.config.api;

import org.jspecify.annotations.NullMarked;

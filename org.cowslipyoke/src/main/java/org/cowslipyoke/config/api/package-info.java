/** Commands on the configuration: built fluently, run by {@code call()}. */
@NullMarked
package org.cowslipyoke.config.api;

import org.jspecify.annotations.NullMarked;

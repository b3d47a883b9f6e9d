/** Rows of the configuration in the table and readers of documents. */
@NullMarked
package org.cowslipyoke.config.internal;

import org.jspecify.annotations.NullMarked;

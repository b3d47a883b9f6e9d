/** Tests of the configuration document. */
@NullMarked
package org.cowslipyoke.config;

import org.jspecify.annotations.NullMarked;

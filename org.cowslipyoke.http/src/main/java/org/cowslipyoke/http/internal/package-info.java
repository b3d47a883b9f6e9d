/** Implementation of the HTTP clients; not for use by other modules. */
@NullMarked
package org.cowslipyoke.http.internal;

import org.jspecify.annotations.NullMarked;

/** HTTP/JSON clients of the platform interfaces; the wire format is in docs/platform.md. */
@NullMarked
package org.cowslipyoke.http;

import org.jspecify.annotations.NullMarked;

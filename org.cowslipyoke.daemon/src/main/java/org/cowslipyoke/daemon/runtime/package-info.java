/** What both roles share: settings, documents, pause detection, metrics and shutdown. */
@NullMarked
package org.cowslipyoke.daemon.runtime;

import org.jspecify.annotations.NullMarked;

/** TCP frames with MessagePack between the daemons: multiplexed streams over shared connections. */
@NullMarked
package org.cowslipyoke.transport;

import org.jspecify.annotations.NullMarked;

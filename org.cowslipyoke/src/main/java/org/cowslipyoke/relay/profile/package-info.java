/** Profiles of engines learned from the traffic of the entries. */
@NullMarked
package org.cowslipyoke.relay.profile;

import org.jspecify.annotations.NullMarked;

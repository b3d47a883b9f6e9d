package org.cowslipyoke.daemon.runtime;

import org.cowslipyoke.daemon.entry.EntryRole;
import org.cowslipyoke.daemon.server.ServerRole;

/** Makes the role that the settings name, with the clients of its backend server. */
final class Roles {

  private Roles() {}

  static Role of(DaemonContext context) {
    boolean isEntry = context.settings().role().equals(Texts.ROLE_ENTRY);
    return isEntry ? new EntryRole(context) : new ServerRole(context);
  }
}

package org.cowslipyoke.daemon.runtime;

import org.cowslipyoke.daemon.entry.EntryRole;
import org.cowslipyoke.daemon.server.ServerRole;

/** Creates the role that is named in the settings. */
final class RoleFactory {

  private RoleFactory() {}

  static Role create(DaemonContext context) {
    boolean isEntry = context.settings().role().equals(DaemonText.ROLE_ENTRY);
    return isEntry ? new EntryRole(context) : new ServerRole(context);
  }
}

package org.cowslipyoke.daemon.runtime;

/** Makes the role that the settings name. Found by name until both roles are in the module. */
final class Roles {

  private Roles() {}

  static Role of(DaemonContext context) {
    String name =
        context.settings().role().equals(Texts.ROLE_ENTRY)
            ? "org.cowslipyoke.daemon.entry.EntryRole"
            : "org.cowslipyoke.daemon.server.ServerRole";
    try {
      return Class.forName(name)
          .asSubclass(Role.class)
          .getConstructor(DaemonContext.class)
          .newInstance(context);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("role " + name + " can't be made", e);
    }
  }
}

package org.cowslipyoke.daemon.runtime;

/** Option names, setting values and messages of the daemon. */
final class DaemonText {

  static final String PROGRAM = "cowslipyoked";
  static final String OPTION_SETTINGS = "settings";
  static final String OPTION_HELP = "help";
  static final String OPTION_VERSION = "version";

  static final String USAGE = "cowslipyoked --settings FILE";
  static final String HELP_SETTINGS = "settings file of this process (JSON)";
  static final String HELP_HELP = "show this help";
  static final String HELP_VERSION = "show the version";

  static final String ROLE_ENTRY = "entry";
  static final String ROLE_SERVER = "server";
  static final String POLICY_DEFAULT = "cost";

  static final String SETTINGS_UNREADABLE = "settings file %s cannot be read: %s";
  static final String BACKEND_MISSING =
      "/backend: key is missing, value null; allowed: required for role server";
  static final String BACKEND_NOT_ALLOWED =
      "/backend: value %s is not allowed; allowed: for role server only";
  static final String BACKEND_ONE_OF =
      "/backend: value %s is not allowed; allowed: either engine or service";
  static final String POLICY_NOT_ALLOWED =
      "/policy: value \"%s\" is not allowed; allowed: for role entry only";

  private DaemonText() {}
}

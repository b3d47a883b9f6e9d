package org.cowslipyoke.pgm;

/** Option names and messages of the tool. */
final class Texts {

  static final String TABLE = "table";
  static final String VMS = "vms";
  static final String SECTION = "section";
  static final String CREDENTIAL_FILE = "credential-file";
  static final String REASON = "reason";
  static final String WHO = "who";
  static final String EXPECT_VERSION = "expect-version";
  static final String CHANGE_ID = "change-id";
  static final String LIMIT = "limit";
  static final String JSON = "json";
  static final String HTTP_PORT = "http-port";
  static final String READY_LINES = "ready-lines";
  static final String HELP = "help";
  static final String VERSION = "version";

  static final String USAGE =
      """
      usage: cowslipyoke config validate --section S FILE
             cowslipyoke config diff     --section S --table URL FILE
             cowslipyoke config apply    --section S --table URL --credential-file FILE
                                         --reason TEXT [--who NAME] [--expect-version N]
                                         [--change-id ID] FILE
             cowslipyoke config show     --section S --table URL
             cowslipyoke config history  --section S --table URL [--limit N]
             cowslipyoke audit           --table URL [--limit N]
             cowslipyoke status          --vms URL [--table URL]
                                         (--http-port N | --ready-lines FILE)
             cowslipyoke --help | --version
      Sections: organisations, models, places, limits. --json prints results as JSON.
      Exit codes: 0 done, 1 refused or failed, 2 command line not understood.\
      """;

  static final String UNKNOWN_COMMAND = "command \"%s\" is unknown";
  static final String MISSING_OPTION = "option --%s is required";
  static final String MISSING_FILE = "one FILE is required";
  static final String EXTRA_ARGUMENT = "argument \"%s\" is not expected";
  static final String NOT_A_NUMBER = "option --%s: value \"%s\" is not allowed; allowed: a number";
  static final String NOT_A_URL = "option --%s: value \"%s\" is not allowed; allowed: a URL";
  static final String MISSING_PORTS = "option --http-port or --ready-lines is required";
  static final String UNREADABLE = "file %s can't be read: %s";

  static final String VALID = "section %s is valid";
  static final String NO_DIFFERENCE = "no difference to version %d";
  static final String DIFFERENCE = "difference to version %d";
  static final String APPLIED = "section %s has version %d, document version %d, change %s";
  static final String READ_BACK =
      "the answer of the table was lost; the change was found by its id";
  static final String UNCHANGED = "section %s already is as stated, version %d";
  static final String ABSENT = "section %s does not exist";

  private Texts() {}
}

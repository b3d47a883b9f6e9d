package org.cowslipyoke.pgm;

import static java.util.Map.entry;

import java.util.Map;
import org.cowslipyoke.pgm.story.Cause;
import org.cowslipyoke.pgm.story.Outcome;

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
  static final String REQUEST = "request";
  static final String WINDOW = "window";
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
             cowslipyoke explain         --request ID [--window SECONDS] [--limit N] FILE...
             cowslipyoke --help | --version
      Sections: organisations, models, places, limits. --json prints results as JSON.
      explain tells the story of a request from the log lines of all processes. FILE may be -
      for standard input; lines may begin with a time in seconds and the name of a VM, without it
      the file's name stands for the VM. --window: how long before the request other lines matter
      (10 s); --limit: how many of them are printed (40). Exit code 1: not in the logs.
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

  static final String MISSING_FILES = "at least one FILE is required, - for standard input";
  static final String OUT_OF_RANGE = "option --%s: value \"%d\" is not allowed; allowed: %d to %d";
  static final String NOT_IN_LOGS =
      "request %s is in none of %d log lines: it reached no process, or its lines were lost";
  static final String ANSWERS_LEAVE_NONE =
      "  these logs have no line for whole answers, so it may have been answered at once";
  static final String COVERED = "  lines of %s: %s to %s, longest time without a line: %s to %s";
  static final String UNREAD = "lines left out because they are no log lines: %d";
  static final String STORY = "request %s: own lines (marked with >): %d; times %s";
  static final String PREFIX_TIMES = "as they stand before the lines, in seconds";
  static final String CLOCK_TIMES = "by the clocks of the VMs";
  static final String FORGOTTEN =
      "lines of standard input or a pipe that were not kept: %d; give files to use all";
  static final String HIDDEN =
      "related lines left out, farther from the end of the request: %d (--limit)";
  static final String CUT_LINES = "more lines of the request that are left out: %d";
  static final String REPEATED = " (%d times, the last at %s)";
  static final String STANDING = "       since %s %s: %s";
  static final String TALLY =
      "other requests at %s from %s around that time: answered %d, ended without an answer %d";
  static final String ALIKE = "other requests that ended so around that time: %d (kind=%s%s)";
  static final String THEN = ", then ";
  static final String NOT_STATED = "not stated";
  static final String CAUSE = "; most likely cause: %s";
  static final String ATTEMPT_CAUSE = "; most likely cause of its failed attempt: %s";
  static final String NO_CAUSE = "; %s";
  static final String UNREPEATED =
      "; not repeated, because the route forbids it, the repeat budget was used up or no other"
          + " server was there (the lines do not tell which)";
  static final String NO_ANSWER_LINES =
      "; these logs have no line for whole answers, so it may have been answered";

  static final Map<Outcome, String> OUTCOMES =
      Map.ofEntries(
          entry(
              Outcome.ANSWERED,
              "%s passed on a whole answer with status %s and %s bytes of %s after %s ms (attempts:"
                  + " %s)"),
          entry(Outcome.FAILURE_PASSED_ON, "%s passed on the failure of %s itself (attempts: %s)"),
          entry(Outcome.REFUSED, "%s refused the request as not run with %s (%s: %s)"),
          entry(Outcome.OWN_ANSWER, "%s answered %s (%s: %s) after %s ms (attempts: %s)"),
          entry(Outcome.CUT, "%s cut the answer after %s ms (%s; received: %s)"),
          entry(Outcome.CALLER_LEFT, "the caller left %s after %s ms (received: %s)"),
          entry(Outcome.BODY_NOT_READ, "%s could not read the request's body (%s)"),
          entry(Outcome.ENTRY_FAILED, "%s failed to handle the request"),
          entry(Outcome.NOT_TOLD, "no line of %s tells how the request ended"));

  static final Map<Cause, String> CAUSES =
      Map.ofEntries(
          entry(Cause.NOTHING_FAILED, "nothing failed"),
          entry(
              Cause.UNFRAMED,
              "nothing failed that the entry could see, but the answer had no length: a cut one"
                  + " looks the same"),
          entry(
              Cause.UNFRAMED_SERVER_GONE,
              "the answer may be cut: it had no length, and %s was gone (%s wrote so at %s)"),
          entry(Cause.SERVER_GONE, "server %s was gone (%s wrote so at %s)"),
          entry(Cause.SERVER_LEAVING, "server %s was leaving (%s wrote so at %s)"),
          entry(Cause.SERVER_STARTED, "server %s had just started (%s wrote so at %s, coldMs=%s)"),
          entry(
              Cause.SERVER_SILENT,
              "server %s did not answer %s either: cache reader lost at %s (%s)"),
          entry(
              Cause.SERVER_TROUBLE,
              "server %s: other attempts there failed around that time too (failed: %s, from VMs:"
                  + " %s, answered: %s)"),
          entry(
              Cause.SERVER_ALONE,
              "server %s or the path to it (%s); no other line tells of a fault there"),
          entry(
              Cause.SERVER_SLOW_START,
              "server %s was slower than expected: first token after %s ms instead of %s ms"),
          entry(Cause.SERVER_STALLED, "server %s stalled: its last byte came %s ms earlier"),
          entry(
              Cause.SERVER_WITHOUT_ANSWER,
              "server %s had not answered after %s ms; no line tells of a fault there"),
          entry(Cause.SERVERS_FULL, "the servers were full (refusals: %s, the last: %s)"),
          entry(Cause.OTHER_INCARNATION, "another incarnation or other weights answered at %s"),
          entry(Cause.WEIGHTS_LOADING, "server %s was loading weights (%s gave the order at %s)"),
          entry(
              Cause.APPLICATION,
              "the application at the servers reported %s (servers for this request: %s, other"
                  + " attempts that failed so: %s)"),
          entry(
              Cause.VM_SILENT,
              "%s wrote nothing from %s to %s: its process was frozen, starved or gone"),
          entry(
              Cause.VM_TROUBLE,
              "%s or its network: other attempts of it failed (%s at %s servers), while other VMs"
                  + " got %s answers from %s and had %s failures in all"),
          entry(Cause.STORE_LOST, "%s could not read the desired state since %s (%s)"),
          entry(
              Cause.NOT_READ_SINCE_START,
              "%s had started at %s and not yet read the desired state"),
          entry(
              Cause.START_UNSEEN,
              "%s had just started and not yet read the desired state (no line of its start)"),
          entry(
              Cause.STATE_OLD,
              "the desired state of %s was %s ms old; no line tells why it was not read"),
          entry(Cause.PLANNED_STOP, "planned stop of %s, which was stopping since %s"),
          entry(Cause.PLANNED_STOP_UNSEEN, "planned stop of %s (no line of its begin)"),
          entry(
              Cause.CUT_BY_STOP,
              "planned stop of %s, stopping since %s: at %s it gave up the requests that were left"
                  + " (%s)"),
          entry(
              Cause.STOP_UNFINISHED,
              "planned stop of %s, stopping since %s: it had not drained when it was started anew"
                  + " at %s"),
          entry(
              Cause.PROCESS_ENDED,
              "the process of %s ended without a planned stop; it was started anew at %s"),
          entry(
              Cause.CONFIGURATION_CHANGED,
              "%s, and %s had put version %s of the desired state in force at %s, which may have"
                  + " taken it out"),
          entry(Cause.CALLER_FAULT, "the caller's request: %s; no change of configuration near it"),
          entry(Cause.CALLER_SLOW, "the caller did not read its answer"),
          entry(Cause.CALLER_BROKE_OFF, "the caller broke off its request"),
          entry(
              Cause.ENGINES_BUSY,
              "all engines were busy with queued work (%s); no line tells of a lost engine"),
          entry(
              Cause.ENGINES_BUSY_AND_FEWER,
              "too few engines for the work (%s); out of use or loading weights: %s"),
          entry(Cause.NO_SERVER_LEFT, "%s believed that no server could take it: %s"),
          entry(
              Cause.NO_SERVER_UNTOLD,
              "%s believed that no server could take it; no line near it tells why"),
          entry(
              Cause.TIME_SPENT, "time lost at server %s, whose attempt ended %s after %s of %s ms"),
          entry(
              Cause.SERVER_UNNAMED,
              "no whole answer within %s ms; the lines do not name the server that had the"
                  + " request"),
          entry(
              Cause.LONG_ANSWER,
              "the answer was still coming (%s bytes in %s ms, the last %s ms before): a long"
                  + " answer, or the caller's own choice"),
          entry(Cause.STATED, "as stated (%s)"),
          entry(Cause.LOG_ENDS, "the lines of %s end at %s, before the request did"),
          entry(Cause.ANSWERS_NOT_LOGGED, "unknown, the logs do not tell"),
          entry(Cause.NOT_TOLD, "unknown, the logs do not tell; lines may have been dropped"));

  private Texts() {}
}

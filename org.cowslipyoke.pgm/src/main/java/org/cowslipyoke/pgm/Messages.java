package org.cowslipyoke.pgm;

import static java.util.Map.entry;

import java.util.Map;
import org.cowslipyoke.pgm.story.Cause;
import org.cowslipyoke.pgm.story.Outcome;

/** Option names of the command line and the texts that it prints. */
final class Messages {

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
  static final String AGAINST = "against";
  static final String HELP = "help";
  static final String VERSION = "version";

  static final String USAGE =
      """
      usage: cowslipyoke config check    [--section S] [--against VERSION|FILE] [--table URL] FILE
             cowslipyoke config validate --section S FILE
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
      check lists all errors of a whole document, an object with one key per section, or of one
      section, entries without effect, and what differs from another file or from the version in
      force, which needs --table. Exit code 1 if the document would be refused.
      explain reconstructs what happened to a request from the log lines of all processes. FILE
      may be - for standard input. A line may begin with a time in seconds and the name of a VM;
      without a name, the file name is taken as the VM. --window: seconds of context before the
      request (default 10); --limit: number of context lines printed (default 40). Exit code 1
      if the logs do not contain the request.
      Exit codes: 0 success, 1 refused or failed, 2 invalid command line.\
      """;

  static final String UNKNOWN_COMMAND = "command \"%s\" is unknown";
  static final String MISSING_OPTION = "option --%s is required";
  static final String MISSING_FILE = "one FILE is required";
  static final String EXTRA_ARGUMENT = "argument \"%s\" is not expected";
  static final String NOT_A_NUMBER = "option --%s: value \"%s\" is not allowed; allowed: a number";
  static final String NOT_A_URL = "option --%s: value \"%s\" is not allowed; allowed: a URL";
  static final String MISSING_PORTS = "option --http-port or --ready-lines is required";
  static final String FILE_NOT_READABLE = "file %s can't be read: %s";

  static final String VALID = "section %s is valid";
  static final String NO_DIFFERENCE = "no difference to version %d";
  static final String DIFFERENCE = "difference to version %d";
  static final String APPLIED = "section %s has version %d, document version %d, change %s";
  static final String READ_BACK = "the table's response was lost; the change was found by its id";
  static final String UNCHANGED = "section %s already has this content, version %d";
  static final String SECTION_NOT_FOUND = "section %s does not exist";

  static final String CHECKED = "errors: %d, warnings: %d";
  static final String CHECK_FAILED = "the configuration would be refused, errors: %d";
  static final String SECTION_CHANGES = "section %s changes:";
  static final String NO_CHANGES = "no section changes";
  static final String NOT_IN_FORCE =
      "version %d is not in the table; allowed: the version in force, %d";
  static final String NOT_A_SECTION = "section %s is not an object";
  static final String NO_SECTIONS =
      "file %s holds no section; allowed: an object with one key per section, or --section";

  static final String MISSING_FILES = "at least one FILE is required, - for standard input";
  static final String OUT_OF_RANGE = "option --%s: value \"%d\" is not allowed; allowed: %d to %d";
  static final String NOT_IN_LOGS =
      "request %s not found in %d log lines: it reached no process, or its log lines were lost";
  static final String MAYBE_ANSWERED_UNLOGGED =
      "  complete responses are not logged here, so it may have been answered without any log line";
  static final String VM_COVERAGE = "  log of %s: %s to %s, longest gap: %s to %s";
  static final String UNPARSED_LINES = "input lines skipped because they are not log lines: %d";
  static final String TRACE_HEADER =
      "request %s: log lines that name it (marked with >): %d; times %s";
  static final String PREFIX_TIMES = "from the prefixes of the lines, in seconds";
  static final String CLOCK_TIMES = "from the clocks of the VMs";
  static final String STREAM_LINES_DROPPED =
      "lines of standard input or a pipe that did not fit the buffer: %d; pass files to use all";
  static final String CONTEXT_LINES_OMITTED =
      "context lines omitted, farther from the end of the request: %d (--limit)";
  static final String REQUEST_LINES_OMITTED = "further lines of the request omitted: %d";
  static final String REPEATED = " (%d times, the last at %s)";
  static final String UNRESOLVED_LOSS = "       since %s %s: %s";
  static final String REQUEST_COUNTS =
      "other requests at %s from %s around that time: responses %d, ended without a response %d";
  static final String SAME_ENDINGS =
      "other requests that ended the same way around that time: %d (kind=%s%s)";
  static final String THEN = ", then ";
  static final String NOT_STATED = "unknown";
  static final String CAUSE = "; most likely cause: %s";
  static final String ATTEMPT_CAUSE = "; most likely cause of its failed attempt: %s";
  static final String REMARK = "; %s";
  static final String NOT_RETRIED =
      "; not retried: the route forbids retries, the retry budget was used up or no other server"
          + " was available (the log does not say which)";
  static final String ANSWERS_NOT_LOGGED =
      "; complete responses are not logged here, so it may have been answered";

  static final Map<Outcome, String> OUTCOMES =
      Map.ofEntries(
          entry(
              Outcome.ANSWERED,
              "%s passed on a complete response with status %s and %s bytes from %s after %s ms"
                  + " (attempts: %s)"),
          entry(Outcome.FAILURE_PASSED_ON, "%s passed on a failure reported by %s (attempts: %s)"),
          entry(Outcome.REFUSED, "%s refused the request with %s before running it (%s: %s)"),
          entry(
              Outcome.OWN_ANSWER,
              "%s itself responded with %s (%s: %s) after %s ms (attempts: %s)"),
          entry(Outcome.CUT, "%s cut the response off after %s ms (%s; received: %s)"),
          entry(Outcome.CALLER_LEFT, "the caller disconnected from %s after %s ms (received: %s)"),
          entry(Outcome.BODY_NOT_READ, "%s could not read the request body (%s)"),
          entry(Outcome.ENTRY_FAILED, "%s failed to handle the request"),
          entry(Outcome.NOT_TOLD, "no log line of %s says how the request ended"));

  static final Map<Cause, String> CAUSES =
      Map.ofEntries(
          entry(Cause.NOTHING_FAILED, "nothing failed"),
          entry(
              Cause.UNFRAMED,
              "the entry saw no failure, but the response had no length, so a truncated one would"
                  + " look the same"),
          entry(
              Cause.UNFRAMED_SERVER_GONE,
              "the response may be truncated: it had no length, and %s was gone (logged by %s at"
                  + " %s)"),
          entry(Cause.SERVER_GONE, "server %s was gone (logged by %s at %s)"),
          entry(Cause.SERVER_LEAVING, "server %s was leaving (logged by %s at %s)"),
          entry(Cause.SERVER_STARTED, "server %s had just started (logged by %s at %s, coldMs=%s)"),
          entry(
              Cause.SERVER_SILENT,
              "server %s did not respond to %s either: cache reader lost at %s (%s)"),
          entry(
              Cause.SERVER_TROUBLE,
              "server %s: other attempts there failed around that time too (failed: %s, from VMs:"
                  + " %s, responses: %s)"),
          entry(
              Cause.SERVER_ALONE,
              "server %s or the network path to it (%s); no other log line reports a fault there"),
          entry(
              Cause.SERVER_SLOW_START,
              "server %s was slower than expected: first token after %s ms instead of %s ms"),
          entry(Cause.SERVER_STALLED, "server %s stalled: its last byte came %s ms earlier"),
          entry(
              Cause.SERVER_WITHOUT_ANSWER,
              "server %s had not responded after %s ms; no log line reports a fault there"),
          entry(Cause.SERVERS_FULL, "the servers were full (refusals: %s, the last: %s)"),
          entry(
              Cause.OTHER_INCARNATION, "%s responded as another incarnation or with other weights"),
          entry(Cause.WEIGHTS_LOADING, "server %s was loading weights (ordered by %s at %s)"),
          entry(
              Cause.APPLICATION,
              "the servers themselves reported %s (failed attempts of this request: %s, other"
                  + " attempts that failed this way: %s)"),
          entry(
              Cause.VM_SILENT,
              "%s logged nothing from %s to %s: its process was frozen, starved or gone"),
          entry(
              Cause.VM_TROUBLE,
              "%s or its network: other attempts from it failed (%s at %s servers), while other VMs"
                  + " got %s responses from %s and had %s failures in total"),
          entry(Cause.STORE_LOST, "%s had not been able to read the desired state since %s (%s)"),
          entry(
              Cause.NOT_READ_SINCE_START,
              "%s started at %s and had not yet read the desired state"),
          entry(
              Cause.START_UNSEEN,
              "%s had just started and had not yet read the desired state (its start is not in the"
                  + " logs)"),
          entry(
              Cause.STATE_OLD,
              "the desired state of %s was %s ms old; no log line says why it was not read"),
          entry(Cause.PLANNED_STOP, "planned stop of %s, which began at %s"),
          entry(
              Cause.PLANNED_STOP_UNSEEN,
              "planned stop of %s (the beginning of the stop is not in the logs)"),
          entry(
              Cause.CUT_BY_STOP,
              "planned stop of %s, which began at %s: at %s it abandoned the remaining requests"
                  + " (%s)"),
          entry(
              Cause.STOP_UNFINISHED,
              "planned stop of %s, which began at %s: it had not drained when it was restarted at"
                  + " %s"),
          entry(
              Cause.PROCESS_ENDED,
              "the process of %s ended without a planned stop; it was restarted at %s"),
          entry(
              Cause.CONFIGURATION_CHANGED,
              "%s, and %s had put version %s of the desired state in force at %s, which may have"
                  + " removed it"),
          entry(
              Cause.CALLER_FAULT,
              "the caller's request: %s; no configuration change around that time"),
          entry(Cause.CALLER_SLOW, "the caller did not read its response"),
          entry(Cause.CALLER_BROKE_OFF, "the caller aborted its request"),
          entry(
              Cause.ENGINES_BUSY,
              "all engines were busy with queued work (%s); no log line reports a lost engine"),
          entry(
              Cause.ENGINES_BUSY_AND_FEWER,
              "too few engines for the queued work (%s); unavailable or loading weights: %s"),
          entry(Cause.NO_SERVER_LEFT, "%s considered no server available: %s"),
          entry(
              Cause.NO_SERVER_UNTOLD,
              "%s considered no server available; no log line around that time says why"),
          entry(
              Cause.TIME_SPENT,
              "time was lost at server %s: the attempt there ended %s after %s of %s ms"),
          entry(
              Cause.SERVER_UNNAMED,
              "no complete response within %s ms; the log lines do not name the server that had the"
                  + " request"),
          entry(
              Cause.LONG_ANSWER,
              "the response was still arriving (%s bytes in %s ms, the last %s ms earlier): a long"
                  + " response, or the caller's own choice"),
          entry(Cause.STATED, "as logged (%s)"),
          entry(Cause.LOG_ENDS, "the log of %s ends at %s, before the request did"),
          entry(Cause.ANSWERS_NOT_LOGGED, "unknown; the logs do not say"),
          entry(Cause.NOT_TOLD, "unknown; the logs do not say, lines may have been dropped"));

  private Messages() {}
}

package org.cowslipyoke.pgm.story;

import java.util.List;
import java.util.Optional;

/** Finds the outcome of a request and its most likely cause. */
public final class Diagnosis {

  /** Shortest remaining time with which an entry retries; with less, lack of time is the reason. */
  private static final long MIN_RETRY_MS = 30;

  private final RequestTrace trace;
  private final Submission submission;
  private final LogLine end;
  private final long endMs;
  private final ServerDiagnosis servers;

  private Diagnosis(RequestTrace trace) {
    this.trace = trace;
    this.submission = trace.lastSubmission();
    this.end = submission.last();
    this.endMs = trace.timeOf(end);
    this.servers = new ServerDiagnosis(trace, submission);
  }

  /** Creates the diagnosis of a trace; {@link #call} runs it. */
  public static Diagnosis of(RequestTrace trace) {
    return new Diagnosis(trace);
  }

  /** Returns the outcome and the most likely cause. */
  public Conclusion call() {
    List<Submission> submissions = trace.submissions();
    return new Conclusion(
        submissions.subList(0, submissions.size() - 1).stream().map(Diagnosis::ending).toList(),
        ending(submission),
        finding(),
        isNotRetried(),
        trace.isAnswersLogged());
  }

  private static Conclusion.Ending ending(Submission v) {
    Outcome o =
        switch (v.last().event()) {
          case ANSWER_PASSED_ON -> isFailure(v) ? Outcome.FAILURE_PASSED_ON : Outcome.ANSWERED;
          case REFUSED -> Outcome.REFUSED;
          case OWN_ANSWER -> Outcome.OWN_ANSWER;
          case ANSWER_CUT -> Outcome.CUT;
          case CALLER_LEFT -> Outcome.CALLER_LEFT;
          case BODY_NOT_READ -> Outcome.BODY_NOT_READ;
          case REQUEST_FAILED -> Outcome.ENTRY_FAILED;
          default -> v.isEndMissing() ? Outcome.NOT_TOLD : Outcome.FAILURE_PASSED_ON;
        };
    return new Conclusion.Ending(v.vm(), o, v.last());
  }

  private static boolean isFailure(Submission v) {
    return v.last().number("status").orElse(0) >= 500;
  }

  private Finding finding() {
    return switch (ending(submission).outcome()) {
      case ANSWERED -> answered();
      case FAILURE_PASSED_ON -> servers.applicationFailure();
      case REFUSED -> new RefusalDiagnosis(trace, submission).call();
      case OWN_ANSWER -> ownAnswer();
      case CUT -> cutResponse();
      case CALLER_LEFT -> interruptedResponse();
      case BODY_NOT_READ -> logGap().orElseGet(() -> Finding.of(Cause.CALLER_BROKE_OFF));
      case ENTRY_FAILED -> Finding.of(Cause.STATED, end.field("error"));
      case NOT_TOLD -> new MissingEndDiagnosis(trace, submission).call();
    };
  }

  private Finding answered() {
    if (end.field("framing").equals("CONNECTION")) {
      return servers
          .serverGone(end.server(), endMs)
          .map(f -> Finding.of(Cause.UNFRAMED_SERVER_GONE, f.values().toArray()))
          .orElseGet(() -> Finding.of(Cause.UNFRAMED));
    }
    return submission
        .lastAttempt()
        .map(servers::failedAttempt)
        .orElseGet(() -> Finding.of(Cause.NOTHING_FAILED));
  }

  private Finding ownAnswer() {
    return switch (end.field("kind")) {
      case "INCOMPLETE" -> failedAttempt();
      case "OUTCOME_UNKNOWN" -> timedOut();
      case "NO_SERVER" -> servers.noServer();
      case "DEADLINE_TOO_SHORT" -> servers.busyEngines(end.field("reason"));
      case "OVERLOADED" ->
          submission.lastAttempt().map(servers::refusedAttempts).orElseGet(servers::noServer);
      default -> new RefusalDiagnosis(trace, submission).call();
    };
  }

  private Finding failedAttempt() {
    return submission
        .lastAttempt()
        .map(servers::failedAttempt)
        .orElseGet(() -> Finding.of(Cause.STATED, end.field("reason")));
  }

  private Finding cutResponse() {
    String reason = end.field("reason");
    if (reason.equals("the time of the request is up")) {
      return interruptedResponse();
    }
    if (reason.equals("the caller does not read its answer")) {
      return Finding.of(Cause.CALLER_SLOW);
    }
    return failedAttempt();
  }

  /** Finds the cause when no response came before the deadline of the request. */
  private Finding timedOut() {
    Optional<Finding> gap = logGap();
    if (gap.isPresent()) {
      return gap.get();
    }
    Optional<LogLine> a = submission.lastAttempt();
    if (a.isPresent() && 2 * a.get().elapsedMs() >= end.elapsedMs()) {
      LogLine l = a.get();
      return Finding.of(
          Cause.TIME_SPENT, l.server(), l.field("end"), l.elapsedMs(), end.elapsedMs());
    }
    String server = serverInUse();
    if (server.isEmpty()) {
      return Finding.of(Cause.SERVER_UNNAMED, end.elapsedMs());
    }
    return servers
        .knownFault(server, endMs)
        .orElseGet(() -> Finding.of(Cause.SERVER_WITHOUT_ANSWER, server, end.elapsedMs()));
  }

  /** Returns the server that had the request at its end, empty if no line names it. */
  private String serverInUse() {
    if (!end.server().isEmpty()) {
      return end.server();
    }
    List<LogLine> lines = submission.lines();
    String server = "";
    for (LogLine l : lines) {
      server = l.event() == Event.FIRST_TOKEN ? l.server() : server;
      server = l.event() == Event.ATTEMPT_ENDED ? "" : server;
    }
    return server;
  }

  /**
   * Finds the cause when the caller left or the deadline passed before the response was complete.
   */
  private Finding interruptedResponse() {
    Optional<Finding> gap = logGap();
    if (gap.isPresent()) {
      return gap.get();
    }
    Progress p = Progress.parse(end.field("received"));
    String server = serverInUse();
    if (p.bytes() > 0 && p.lastByteAgoMs() < Progress.MIN_STALL_MS) {
      return servers
          .slowStart(server)
          .orElseGet(
              () -> Finding.of(Cause.LONG_ANSWER, p.bytes(), end.elapsedMs(), p.lastByteAgoMs()));
    }
    if (server.isEmpty()) {
      return Finding.of(Cause.SERVER_UNNAMED, end.elapsedMs());
    }
    Cause c = p.bytes() > 0 ? Cause.SERVER_STALLED : Cause.SERVER_WITHOUT_ANSWER;
    long ms = p.bytes() > 0 ? p.lastByteAgoMs() : end.elapsedMs();
    return servers.knownFault(server, endMs).orElseGet(() -> Finding.of(c, server, ms));
  }

  private Optional<Finding> logGap() {
    return servers.logGap(trace.beginMs(), endMs);
  }

  /**
   * Returns whether the entry gave up although there was time for another attempt. The lines do not
   * say whether the route, the retry budget or the lack of servers was the reason.
   */
  private boolean isNotRetried() {
    return submission
        .lastAttempt()
        .filter(a -> a.field("next").equals("FAIL") || a.field("next").equals("CUT"))
        .filter(a -> a.number("leftMs").orElse(0) >= MIN_RETRY_MS)
        .isPresent();
  }
}

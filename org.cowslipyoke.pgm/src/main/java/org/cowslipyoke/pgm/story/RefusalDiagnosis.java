package org.cowslipyoke.pgm.story;

import java.util.Optional;

/** Finds why a VM refused a request before choosing a server. */
final class RefusalDiagnosis {

  /** Age of a state that was never read: its lines have none, those of earlier builds this one. */
  private static final long NEVER_READ_MS = Long.MAX_VALUE;

  private final RequestTrace trace;
  private final Submission submission;
  private final LogLine end;
  private final long endMs;

  RefusalDiagnosis(RequestTrace trace, Submission submission) {
    this.trace = trace;
    this.submission = submission;
    this.end = submission.last();
    this.endMs = trace.timeOf(end);
  }

  Finding call() {
    return switch (end.field("kind")) {
      case "NOT_READY" -> notReady();
      case "SHUTTING_DOWN" -> stopping();
      case "NOT_FOUND", "UNAUTHENTICATED" -> unknownRouteOrKey();
      case "TOO_LARGE", "INVALID_REQUEST" -> Finding.of(Cause.CALLER_FAULT, end.field("reason"));
      default -> Finding.of(Cause.STATED, end.field("reason"));
    };
  }

  private Finding notReady() {
    Optional<ContextLine> lost =
        trace
            .lastContextLine(f -> isOwn(f) && isDesiredStateReading(f.line()), endMs)
            .filter(f -> f.is(Event.STORE_LOST));
    if (lost.isPresent()) {
      LogLine l = lost.get().line();
      return Finding.of(
          Cause.STORE_LOST, submission.vm(), time(lost.get().atMs()), l.field("reason"));
    }
    long ageMs = end.number("stateAgeMs").orElse(NEVER_READ_MS);
    if (ageMs == NEVER_READ_MS) {
      return trace
          .lastContextLine(f -> isOwn(f) && f.is(Event.STARTED), endMs)
          .map(f -> Finding.of(Cause.NOT_READ_SINCE_START, submission.vm(), time(f.atMs())))
          .orElseGet(() -> Finding.of(Cause.START_UNSEEN, submission.vm()));
    }
    return trace
        .longestLogGap(submission.vm(), endMs - ageMs, endMs)
        .map(s -> Finding.of(Cause.VM_SILENT, submission.vm(), time(s.fromMs()), time(s.toMs())))
        .orElseGet(() -> Finding.of(Cause.STATE_OLD, submission.vm(), ageMs));
  }

  private Finding stopping() {
    return trace
        .lastContextLine(f -> isOwn(f) && f.is(Event.STOPPING), endMs)
        .map(f -> Finding.of(Cause.PLANNED_STOP, submission.vm(), time(f.atMs())))
        .orElseGet(() -> Finding.of(Cause.PLANNED_STOP_UNSEEN, submission.vm()));
  }

  private Finding unknownRouteOrKey() {
    return trace
        .lastContextLine(f -> isOwn(f) && f.is(Event.DESIRED_STATE), endMs)
        .map(
            f ->
                Finding.of(
                    Cause.CONFIGURATION_CHANGED,
                    end.field("reason"),
                    submission.vm(),
                    f.line().field("version"),
                    time(f.atMs())))
        .orElseGet(() -> Finding.of(Cause.CALLER_FAULT, end.field("reason")));
  }

  private boolean isOwn(ContextLine f) {
    return f.line().vm().equals(submission.vm());
  }

  /** Returns whether the line is about reading the desired state, which logs call "operator". */
  private static boolean isDesiredStateReading(LogLine l) {
    boolean store = l.event() == Event.STORE_LOST || l.event() == Event.STORE_REGAINED;
    return store && l.field("reading").equals("operator");
  }

  private String time(long ms) {
    return trace.axis().format(ms);
  }
}

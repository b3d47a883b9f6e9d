package org.cowslipyoke.pgm.story;

import java.util.Optional;

/** Finds why a VM refused a request before it chose a server. */
final class RefusalDiagnosis {

  /** A state of this age has not been read at all; the line states the largest number. */
  private static final long NEVER_READ_MS = Long.MAX_VALUE;

  private final Story story;
  private final Visit visit;
  private final LogLine end;
  private final long endMs;

  RefusalDiagnosis(Story story, Visit visit) {
    this.story = story;
    this.visit = visit;
    this.end = visit.last();
    this.endMs = story.timeOf(end);
  }

  Finding call() {
    return switch (end.field("kind")) {
      case "NOT_READY" -> notReady();
      case "SHUTTING_DOWN" -> stopping();
      case "NOT_FOUND", "UNAUTHENTICATED" -> notKnown();
      case "TOO_LARGE", "INVALID_REQUEST" -> Finding.of(Cause.CALLER_FAULT, end.field("reason"));
      default -> Finding.of(Cause.STATED, end.field("reason"));
    };
  }

  private Finding notReady() {
    Optional<Fact> lost =
        story
            .lastFact(f -> isOwn(f) && isDesiredState(f.line()), endMs)
            .filter(f -> f.is(Event.STORE_LOST));
    if (lost.isPresent()) {
      LogLine l = lost.get().line();
      return Finding.of(Cause.STORE_LOST, visit.vm(), time(lost.get().atMs()), l.field("reason"));
    }
    long ageMs = end.number("stateAgeMs").orElse(0);
    if (ageMs == NEVER_READ_MS) {
      return story
          .lastFact(f -> isOwn(f) && f.is(Event.STARTED), endMs)
          .map(f -> Finding.of(Cause.NOT_READ_SINCE_START, visit.vm(), time(f.atMs())))
          .orElseGet(() -> Finding.of(Cause.START_UNSEEN, visit.vm()));
    }
    return story
        .silence(visit.vm(), endMs - ageMs, endMs)
        .map(s -> Finding.of(Cause.VM_SILENT, visit.vm(), time(s.fromMs()), time(s.toMs())))
        .orElseGet(() -> Finding.of(Cause.STATE_OLD, visit.vm(), ageMs));
  }

  private Finding stopping() {
    return story
        .lastFact(f -> isOwn(f) && f.is(Event.STOPPING), endMs)
        .map(f -> Finding.of(Cause.PLANNED_STOP, visit.vm(), time(f.atMs())))
        .orElseGet(() -> Finding.of(Cause.PLANNED_STOP_UNSEEN, visit.vm()));
  }

  private Finding notKnown() {
    return story
        .lastFact(f -> isOwn(f) && f.is(Event.DESIRED_STATE), endMs)
        .map(
            f ->
                Finding.of(
                    Cause.CONFIGURATION_CHANGED,
                    end.field("reason"),
                    visit.vm(),
                    f.line().field("version"),
                    time(f.atMs())))
        .orElseGet(() -> Finding.of(Cause.CALLER_FAULT, end.field("reason")));
  }

  private boolean isOwn(Fact f) {
    return f.line().vm().equals(visit.vm());
  }

  /** The desired state is read as "operator". */
  private static boolean isDesiredState(LogLine l) {
    boolean store = l.event() == Event.STORE_LOST || l.event() == Event.STORE_REGAINED;
    return store && l.field("reading").equals("operator");
  }

  private String time(long ms) {
    return story.axis().format(ms);
  }
}

package org.cowslipyoke.pgm.story;

import java.util.List;
import java.util.Optional;

/** Finds the outcome of a story and its most likely cause. */
public final class Diagnosis {

  /** Shortest time left for which an entry begins another attempt; below it time is the reason. */
  private static final long REPEAT_MS = 30;

  private final Story story;
  private final Visit visit;
  private final LogLine end;
  private final long endMs;
  private final ServerDiagnosis servers;

  private Diagnosis(Story story) {
    this.story = story;
    this.visit = story.lastVisit();
    this.end = visit.last();
    this.endMs = story.timeOf(end);
    this.servers = new ServerDiagnosis(story, visit);
  }

  /** Creates the command. */
  public static Diagnosis of(Story story) {
    return new Diagnosis(story);
  }

  /** Returns the outcome and the most likely cause. */
  public Verdict call() {
    List<Visit> visits = story.visits();
    return new Verdict(
        visits.subList(0, visits.size() - 1).stream().map(Diagnosis::ending).toList(),
        ending(visit),
        finding(),
        isUnrepeated(),
        story.isAnswersLogged());
  }

  private static Verdict.Ending ending(Visit v) {
    Outcome o =
        switch (v.last().event()) {
          case ANSWER_PASSED_ON -> isFailure(v) ? Outcome.FAILURE_PASSED_ON : Outcome.ANSWERED;
          case REFUSED -> Outcome.REFUSED;
          case OWN_ANSWER -> Outcome.OWN_ANSWER;
          case ANSWER_CUT -> Outcome.CUT;
          case CALLER_LEFT -> Outcome.CALLER_LEFT;
          case BODY_NOT_READ -> Outcome.BODY_NOT_READ;
          case REQUEST_FAILED -> Outcome.ENTRY_FAILED;
          default -> v.isOpen() ? Outcome.NOT_TOLD : Outcome.FAILURE_PASSED_ON;
        };
    return new Verdict.Ending(v.vm(), o, v.last());
  }

  private static boolean isFailure(Visit v) {
    return v.last().number("status").orElse(0) >= 500;
  }

  private Finding finding() {
    return switch (ending(visit).outcome()) {
      case ANSWERED -> answered();
      case FAILURE_PASSED_ON -> servers.application();
      case REFUSED -> new RefusalDiagnosis(story, visit).call();
      case OWN_ANSWER -> ownAnswer();
      case CUT -> cut();
      case CALLER_LEFT -> unfinished();
      case BODY_NOT_READ -> silence().orElseGet(() -> Finding.of(Cause.CALLER_BROKE_OFF));
      case ENTRY_FAILED -> Finding.of(Cause.STATED, end.field("error"));
      case NOT_TOLD -> new OpenDiagnosis(story, visit).call();
    };
  }

  private Finding answered() {
    if (end.field("framing").equals("CONNECTION")) {
      return servers
          .gone(end.server(), endMs)
          .map(f -> Finding.of(Cause.UNFRAMED_SERVER_GONE, f.values().toArray()))
          .orElseGet(() -> Finding.of(Cause.UNFRAMED));
    }
    return visit
        .lastAttempt()
        .map(servers::failedAttempt)
        .orElseGet(() -> Finding.of(Cause.NOTHING_FAILED));
  }

  private Finding ownAnswer() {
    return switch (end.field("kind")) {
      case "INCOMPLETE" -> attempt();
      case "OUTCOME_UNKNOWN" -> timeIsUp();
      case "NO_SERVER" -> servers.noServer();
      case "DEADLINE_TOO_SHORT" -> servers.busyEngines(end.field("reason"));
      case "OVERLOADED" -> visit.lastAttempt().map(servers::refused).orElseGet(servers::noServer);
      default -> new RefusalDiagnosis(story, visit).call();
    };
  }

  private Finding attempt() {
    return visit
        .lastAttempt()
        .map(servers::failedAttempt)
        .orElseGet(() -> Finding.of(Cause.STATED, end.field("reason")));
  }

  private Finding cut() {
    String reason = end.field("reason");
    if (reason.equals("the time of the request is up")) {
      return unfinished();
    }
    if (reason.equals("the caller does not read its answer")) {
      return Finding.of(Cause.CALLER_SLOW);
    }
    return attempt();
  }

  /** The answer was outstanding when the time of the request was up. */
  private Finding timeIsUp() {
    Optional<Finding> frozen = silence();
    if (frozen.isPresent()) {
      return frozen.get();
    }
    Optional<LogLine> a = visit.lastAttempt();
    if (a.isPresent() && 2 * a.get().elapsedMs() >= end.elapsedMs()) {
      LogLine l = a.get();
      return Finding.of(
          Cause.TIME_SPENT, l.server(), l.field("end"), l.elapsedMs(), end.elapsedMs());
    }
    String server = inFlight();
    if (server.isEmpty()) {
      return Finding.of(Cause.SERVER_UNNAMED, end.elapsedMs());
    }
    return servers
        .known(server, endMs)
        .orElseGet(() -> Finding.of(Cause.SERVER_WITHOUT_ANSWER, server, end.elapsedMs()));
  }

  /** Returns the server that had the request at its end, empty if no line tells. */
  private String inFlight() {
    if (!end.server().isEmpty()) {
      return end.server();
    }
    List<LogLine> lines = visit.lines();
    String server = "";
    for (LogLine l : lines) {
      server = l.event() == Event.FIRST_TOKEN ? l.server() : server;
      server = l.event() == Event.ATTEMPT_ENDED ? "" : server;
    }
    return server;
  }

  /** The caller left, or time ran out, while an answer was coming. */
  private Finding unfinished() {
    Optional<Finding> frozen = silence();
    if (frozen.isPresent()) {
      return frozen.get();
    }
    Progress p = Progress.parse(end.field("received"));
    String server = inFlight();
    if (p.bytes() > 0 && p.agoMs() < Progress.STALLED_MS) {
      return servers
          .slowStart(server)
          .orElseGet(() -> Finding.of(Cause.LONG_ANSWER, p.bytes(), end.elapsedMs(), p.agoMs()));
    }
    if (server.isEmpty()) {
      return Finding.of(Cause.SERVER_UNNAMED, end.elapsedMs());
    }
    Cause c = p.bytes() > 0 ? Cause.SERVER_STALLED : Cause.SERVER_WITHOUT_ANSWER;
    long ms = p.bytes() > 0 ? p.agoMs() : end.elapsedMs();
    return servers.known(server, endMs).orElseGet(() -> Finding.of(c, server, ms));
  }

  private Optional<Finding> silence() {
    return servers.silence(story.beginMs(), endMs);
  }

  /** The lines do not tell whether the route, the budget or the lack of servers was the reason. */
  private boolean isUnrepeated() {
    return visit
        .lastAttempt()
        .filter(a -> a.field("next").equals("FAIL") || a.field("next").equals("CUT"))
        .filter(a -> a.number("leftMs").orElse(0) >= REPEAT_MS)
        .isPresent();
  }
}

package org.cowslipyoke.pgm.story;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Finds why servers did not respond to a request, from context lines and the results of others. */
final class ServerDiagnosis {

  /** Minimum ratio of actual to expected time to first token; the estimate errs by less. */
  private static final int MIN_SLOW_FACTOR = 2;

  /** Minimum time to first token that can explain a failure. */
  private static final long MIN_SLOW_MS = 500;

  /**
   * Maximum ratio of failures of other VMs to failures of this VM at which this VM counts as the
   * cause.
   */
  private static final double MAX_OTHER_FAILURE_RATIO = 0.25;

  private final RequestTrace trace;
  private final Submission submission;

  ServerDiagnosis(RequestTrace trace, Submission submission) {
    this.trace = trace;
    this.submission = submission;
  }

  /** Returns why an attempt did not yield a complete response. */
  Finding failedAttempt(LogLine a) {
    return switch (a.field("end")) {
      case "FAILED" -> applicationFailure();
      case "REFUSED" -> refusedAttempts(a);
      case "MISDIRECTED" -> Finding.of(Cause.OTHER_INCARNATION, a.server());
      default -> brokenAttempt(a);
    };
  }

  private Finding brokenAttempt(LogLine a) {
    long ms = trace.timeOf(a);
    return logGap(ms - a.elapsedMs(), ms)
        .or(() -> knownFault(a.server(), ms))
        .orElseGet(() -> Finding.of(Cause.SERVER_ALONE, a.server(), a.field("reason")));
  }

  /** Returns why no server accepted the request. */
  Finding refusedAttempts(LogLine last) {
    List<LogLine> attempts =
        submission.lines().stream().filter(l -> l.event() == Event.ATTEMPT_ENDED).toList();
    for (LogLine a : attempts) {
      if (!a.field("end").equals("REFUSED")) {
        return failedAttempt(a);
      }
    }
    return loadingWeights(last.server(), trace.timeOf(last))
        .orElseGet(() -> Finding.of(Cause.SERVERS_FULL, attempts.size(), last.field("reason")));
  }

  /** Returns the fault of a server at a time, empty if no line reports one. */
  Optional<Finding> knownFault(String server, long ms) {
    return serverGone(server, ms)
        .or(() -> leavingOrStarted(server, ms))
        .or(() -> cacheReaderLost(server, ms))
        .or(() -> loadingWeights(server, ms))
        .or(() -> vmFault(server))
        .or(() -> serverFault(server));
  }

  Optional<Finding> serverGone(String server, long ms) {
    long toMs = ms + ContextCollector.CONTEXT_AFTER_MS;
    return trace
        .lastContextLine(f -> f.is(Event.SERVER_GONE) && isAbout(f, server), toMs)
        .map(f -> Finding.of(Cause.SERVER_GONE, server, f.line().vm(), time(f.atMs())));
  }

  private Optional<Finding> leavingOrStarted(String server, long ms) {
    Optional<ContextLine> f =
        trace.lastContextLine(x -> x.is(Event.SERVER_CHANGED) && isAbout(x, server), ms);
    if (f.isEmpty()) {
      return Optional.empty();
    }
    LogLine l = f.get().line();
    String at = time(f.get().atMs());
    if (f.get().isLoss()) {
      return Optional.of(Finding.of(Cause.SERVER_LEAVING, server, l.vm(), at));
    }
    return l.number("coldMs").orElse(0) > 0
        ? Optional.of(Finding.of(Cause.SERVER_STARTED, server, l.vm(), at, l.field("coldMs")))
        : Optional.empty();
  }

  private Optional<Finding> cacheReaderLost(String server, long ms) {
    Predicate<ContextLine> reader =
        f ->
            (f.is(Event.CACHE_LOST) || f.is(Event.CACHE_REGAINED))
                && trace.serverAt(f.line().field("address")).equals(server);
    return trace
        .lastContextLine(reader, ms + ContextCollector.CONTEXT_AFTER_MS)
        .filter(f -> f.is(Event.CACHE_LOST))
        .map(
            f ->
                Finding.of(
                    Cause.SERVER_SILENT,
                    server,
                    f.line().vm(),
                    time(f.atMs()),
                    f.line().field("reason")));
  }

  private Optional<Finding> loadingWeights(String server, long ms) {
    return trace
        .lastContextLine(f -> f.is(Event.ORDER_GIVEN) && isAbout(f, server), ms)
        .filter(f -> isLoading(f, ms))
        .map(f -> Finding.of(Cause.WEIGHTS_LOADING, server, f.line().vm(), time(f.atMs())));
  }

  /** An order is executed when the server list shows the server with the ordered weights. */
  private boolean isLoading(ContextLine order, long ms) {
    LogLine o = order.line();
    String done = o.field("model") + "=" + o.field("version");
    Predicate<ContextLine> loaded =
        f ->
            f.is(Event.SERVER_CHANGED)
                && isAbout(f, o.server())
                && List.of(f.line().field("weights").split("[{}, ]+", -1)).contains(done);
    return trace
        .allContextLines()
        .noneMatch(f -> f.atMs() >= order.atMs() && f.atMs() <= ms && loaded.test(f));
  }

  Optional<Finding> logGap(long beginMs, long endMs) {
    return trace
        .longestLogGap(submission.vm(), beginMs, endMs)
        .map(s -> Finding.of(Cause.VM_SILENT, submission.vm(), time(s.fromMs()), time(s.toMs())));
  }

  /**
   * Detects that attempts of this VM fail at several servers, one of which responds to other VMs.
   */
  private Optional<Finding> vmFault(String server) {
    List<RequestCounts> own =
        trace.allRequestCounts().stream().filter(t -> t.vm().equals(submission.vm())).toList();
    int failed = own.stream().mapToInt(RequestCounts::failed).sum();
    long failing = own.stream().filter(t -> t.failed() > 0).count();
    List<RequestCounts> others =
        trace.allRequestCounts().stream().filter(t -> !t.vm().equals(submission.vm())).toList();
    int otherFailures = others.stream().mapToInt(RequestCounts::failed).sum();
    int answers =
        others.stream()
            .filter(t -> t.server().equals(server))
            .mapToInt(RequestCounts::answered)
            .sum();
    if (failing < 2 || answers == 0 || otherFailures > MAX_OTHER_FAILURE_RATIO * failed) {
      return Optional.empty();
    }
    return Optional.of(
        Finding.of(
            Cause.VM_TROUBLE, submission.vm(), failed, failing, answers, server, otherFailures));
  }

  private Optional<Finding> serverFault(String server) {
    List<RequestCounts> at =
        trace.allRequestCounts().stream().filter(t -> t.server().equals(server)).toList();
    int failed = at.stream().mapToInt(RequestCounts::failed).sum();
    if (failed == 0) {
      return Optional.empty();
    }
    long from = at.stream().filter(t -> t.failed() > 0).count();
    int answers = at.stream().mapToInt(RequestCounts::answered).sum();
    return Optional.of(Finding.of(Cause.SERVER_TROUBLE, server, failed, from, answers));
  }

  /** Returns the failure that the servers themselves reported. */
  Finding applicationFailure() {
    List<LogLine> failed =
        submission.lines().stream().filter(l -> l.field("end").equals("FAILED")).toList();
    int others =
        trace.requestCounts().stream().mapToInt(t -> t.ends().getOrDefault("FAILED", 0)).sum();
    String reason =
        failed.isEmpty()
            ? "status " + submission.last().field("status")
            : failed.get(failed.size() - 1).field("reason");
    return Finding.of(Cause.APPLICATION, reason, Math.max(1, failed.size()), others);
  }

  /** Detects a stream that began much later than expected when its server was chosen. */
  Optional<Finding> slowStart(String server) {
    return submission
        .lastLine(Event.FIRST_TOKEN)
        .filter(l -> l.server().equals(server))
        .filter(
            l -> {
              long took = l.elapsedMs();
              return took >= MIN_SLOW_MS
                  && took >= MIN_SLOW_FACTOR * l.number("expectedMs").orElse(took);
            })
        .map(
            l -> Finding.of(Cause.SERVER_SLOW_START, server, l.elapsedMs(), l.field("expectedMs")));
  }

  Finding busyEngines(String reason) {
    String unavailable = unavailableServers();
    return unavailable.isEmpty()
        ? Finding.of(Cause.ENGINES_BUSY, reason)
        : Finding.of(Cause.ENGINES_BUSY_AND_FEWER, reason, unavailable);
  }

  Finding noServer() {
    String unavailable = unavailableServers();
    return unavailable.isEmpty()
        ? Finding.of(Cause.NO_SERVER_UNTOLD, submission.vm())
        : Finding.of(Cause.NO_SERVER_LEFT, submission.vm(), unavailable);
  }

  /** Lists why servers were unavailable when the request ended, grouped by event. */
  private String unavailableServers() {
    long endMs = trace.timeOf(submission.last());
    Map<String, TreeSet<String>> byKind = new TreeMap<>();
    trace
        .allContextLines()
        .filter(f -> f.atMs() <= endMs)
        .forEach(
            f -> {
              String what = makesServerUnavailable(f) ? subject(f) : "";
              if (!what.isEmpty()) {
                byKind.computeIfAbsent(f.line().event().text(), k -> new TreeSet<>()).add(what);
              }
            });
    return String.join(
        "; ",
        byKind.entrySet().stream()
            .map(e -> e.getKey() + ": " + String.join(", ", e.getValue()))
            .toList());
  }

  private boolean makesServerUnavailable(ContextLine f) {
    boolean own = f.line().vm().equals(submission.vm());
    return switch (f.line().event()) {
      case ORDER_GIVEN -> isLoading(f, trace.timeOf(submission.last()));
      case SERVER_GONE, SERVER_CHANGED, CACHE_LOST, DOMAINS_OUT -> own && f.isLoss();
      default -> false;
    };
  }

  private String subject(ContextLine f) {
    LogLine l = f.line();
    return switch (l.event()) {
      case CACHE_LOST -> trace.serverAt(l.field("address"));
      case DOMAINS_OUT -> l.field("now");
      case SERVER_CHANGED -> l.server() + " leaves";
      default -> l.server();
    };
  }

  private static boolean isAbout(ContextLine f, String server) {
    return f.line().server().equals(server);
  }

  private String time(long ms) {
    return trace.axis().format(ms);
  }
}

package org.cowslipyoke.pgm.story;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Finds why servers did not answer a request, from what the VMs noted and other requests met. */
final class ServerDiagnosis {

  /** A first token this much later than expected is not explained by the error of the estimate. */
  private static final int SLOW_FACTOR = 2;

  /** Delay below which a slow first token explains no failure. */
  private static final long SLOW_MS = 500;

  /** Failures of other VMs per failure of the own one above which the VM is not the cause. */
  private static final double ELSEWHERE = 0.25;

  private final Story story;
  private final Visit visit;

  ServerDiagnosis(Story story, Visit visit) {
    this.story = story;
    this.visit = visit;
  }

  /** Returns why an attempt gave no whole answer. */
  Finding failedAttempt(LogLine a) {
    return switch (a.field("end")) {
      case "FAILED" -> application();
      case "REFUSED" -> refused(a);
      case "MISDIRECTED" -> Finding.of(Cause.OTHER_INCARNATION, a.server());
      default -> broken(a);
    };
  }

  private Finding broken(LogLine a) {
    long ms = story.timeOf(a);
    return silence(ms - a.elapsedMs(), ms)
        .or(() -> known(a.server(), ms))
        .orElseGet(() -> Finding.of(Cause.SERVER_ALONE, a.server(), a.field("reason")));
  }

  /** Returns why no server took the request. */
  Finding refused(LogLine last) {
    List<LogLine> attempts =
        visit.lines().stream().filter(l -> l.event() == Event.ATTEMPT_ENDED).toList();
    for (LogLine a : attempts) {
      if (!a.field("end").equals("REFUSED")) {
        return failedAttempt(a);
      }
    }
    return order(last.server(), story.timeOf(last))
        .orElseGet(() -> Finding.of(Cause.SERVERS_FULL, attempts.size(), last.field("reason")));
  }

  /** Returns what is known about a server at a time, empty if no line tells of a fault. */
  Optional<Finding> known(String server, long ms) {
    return gone(server, ms)
        .or(() -> changed(server, ms))
        .or(() -> readerLost(server, ms))
        .or(() -> order(server, ms))
        .or(() -> vmTrouble(server))
        .or(() -> serverTrouble(server));
  }

  Optional<Finding> gone(String server, long ms) {
    long toMs = ms + Surroundings.AFTER_MS;
    return story
        .lastFact(f -> f.is(Event.SERVER_GONE) && isAbout(f, server), toMs)
        .map(f -> Finding.of(Cause.SERVER_GONE, server, f.line().vm(), time(f.atMs())));
  }

  private Optional<Finding> changed(String server, long ms) {
    Optional<Fact> f = story.lastFact(x -> x.is(Event.SERVER_CHANGED) && isAbout(x, server), ms);
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

  private Optional<Finding> readerLost(String server, long ms) {
    Predicate<Fact> reader =
        f ->
            (f.is(Event.CACHE_LOST) || f.is(Event.CACHE_REGAINED))
                && story.serverAt(f.line().field("address")).equals(server);
    return story
        .lastFact(reader, ms + Surroundings.AFTER_MS)
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

  private Optional<Finding> order(String server, long ms) {
    return story
        .lastFact(f -> f.is(Event.ORDER_GIVEN) && isAbout(f, server), ms)
        .filter(f -> isLoading(f, ms))
        .map(f -> Finding.of(Cause.WEIGHTS_LOADING, server, f.line().vm(), time(f.atMs())));
  }

  /** An order is done when the list names the server with the weights that it asked for. */
  private boolean isLoading(Fact order, long ms) {
    LogLine o = order.line();
    String done = o.field("model") + "=" + o.field("version");
    Predicate<Fact> loaded =
        f ->
            f.is(Event.SERVER_CHANGED)
                && isAbout(f, o.server())
                && List.of(f.line().field("weights").split("[{}, ]+", -1)).contains(done);
    return story.all().noneMatch(f -> f.atMs() >= order.atMs() && f.atMs() <= ms && loaded.test(f));
  }

  Optional<Finding> silence(long beginMs, long endMs) {
    return story
        .silence(visit.vm(), beginMs, endMs)
        .map(s -> Finding.of(Cause.VM_SILENT, visit.vm(), time(s.fromMs()), time(s.toMs())));
  }

  /** Attempts of one VM fail at several servers that answer other VMs. */
  private Optional<Finding> vmTrouble(String server) {
    List<Tally> own = story.allTallies().stream().filter(t -> t.vm().equals(visit.vm())).toList();
    int failed = own.stream().mapToInt(Tally::failed).sum();
    long failing = own.stream().filter(t -> t.failed() > 0).count();
    List<Tally> others =
        story.allTallies().stream().filter(t -> !t.vm().equals(visit.vm())).toList();
    int elsewhere = others.stream().mapToInt(Tally::failed).sum();
    int answers =
        others.stream().filter(t -> t.server().equals(server)).mapToInt(Tally::answered).sum();
    if (failing < 2 || answers == 0 || elsewhere > ELSEWHERE * failed) {
      return Optional.empty();
    }
    return Optional.of(
        Finding.of(Cause.VM_TROUBLE, visit.vm(), failed, failing, answers, server, elsewhere));
  }

  private Optional<Finding> serverTrouble(String server) {
    List<Tally> at = story.allTallies().stream().filter(t -> t.server().equals(server)).toList();
    int failed = at.stream().mapToInt(Tally::failed).sum();
    if (failed == 0) {
      return Optional.empty();
    }
    long from = at.stream().filter(t -> t.failed() > 0).count();
    int answers = at.stream().mapToInt(Tally::answered).sum();
    return Optional.of(Finding.of(Cause.SERVER_TROUBLE, server, failed, from, answers));
  }

  /** The servers themselves reported a failure. */
  Finding application() {
    List<LogLine> failed =
        visit.lines().stream().filter(l -> l.field("end").equals("FAILED")).toList();
    int others = story.tallies().stream().mapToInt(t -> t.ends().getOrDefault("FAILED", 0)).sum();
    String reason =
        failed.isEmpty()
            ? "status " + visit.last().field("status")
            : failed.get(failed.size() - 1).field("reason");
    return Finding.of(Cause.APPLICATION, reason, Math.max(1, failed.size()), others);
  }

  /** Returns that a stream began much later than the choice of its server expected. */
  Optional<Finding> slowStart(String server) {
    return visit
        .lastOf(Event.FIRST_TOKEN)
        .filter(l -> l.server().equals(server))
        .filter(
            l -> {
              long took = l.elapsedMs();
              return took >= SLOW_MS && took >= SLOW_FACTOR * l.number("expectedMs").orElse(took);
            })
        .map(
            l -> Finding.of(Cause.SERVER_SLOW_START, server, l.elapsedMs(), l.field("expectedMs")));
  }

  Finding busyEngines(String reason) {
    String losses = losses();
    return losses.isEmpty()
        ? Finding.of(Cause.ENGINES_BUSY, reason)
        : Finding.of(Cause.ENGINES_BUSY_AND_FEWER, reason, losses);
  }

  Finding noServer() {
    String losses = losses();
    return losses.isEmpty()
        ? Finding.of(Cause.NO_SERVER_UNTOLD, visit.vm())
        : Finding.of(Cause.NO_SERVER_LEFT, visit.vm(), losses);
  }

  /** Lists what kept servers from taking requests when this one ended, by kind of line. */
  private String losses() {
    long endMs = story.timeOf(visit.last());
    Map<String, TreeSet<String>> byKind = new TreeMap<>();
    story
        .all()
        .filter(f -> f.atMs() <= endMs)
        .forEach(
            f -> {
              String what = isServerLoss(f) ? subject(f) : "";
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

  private boolean isServerLoss(Fact f) {
    boolean own = f.line().vm().equals(visit.vm());
    return switch (f.line().event()) {
      case ORDER_GIVEN -> isLoading(f, story.timeOf(visit.last()));
      case SERVER_GONE, SERVER_CHANGED, CACHE_LOST, DOMAINS_OUT -> own && f.isLoss();
      default -> false;
    };
  }

  private String subject(Fact f) {
    LogLine l = f.line();
    return switch (l.event()) {
      case CACHE_LOST -> story.serverAt(l.field("address"));
      case DOMAINS_OUT -> l.field("now");
      case SERVER_CHANGED -> l.server() + " leaves";
      default -> l.server();
    };
  }

  private static boolean isAbout(Fact f, String server) {
    return f.line().server().equals(server);
  }

  private String time(long ms) {
    return story.axis().format(ms);
  }
}

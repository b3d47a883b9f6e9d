package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cowslipyoke.util.Clock;

/**
 * What the entry that gives orders tells the others about servers that load weights. It learns this
 * from the servers' reports; if every entry requested them, the calls of a rollout of weights would
 * grow with entries times servers. Thread-safe.
 */
public final class WeightStatements {

  /** Time without statements after which an entry requests reports itself, in milliseconds. */
  public static final long HEARD_MS = 1_200;

  /** Minimum time between two datagrams, in milliseconds. */
  static final long MIN_INTERVAL_MS = 100;

  /**
   * Interval at which loading servers are stated again, in milliseconds. It also shows the other
   * entries that there is an entry that gives orders.
   */
  static final long REPEAT_MS = 500;

  /** Number of datagrams that state a change, so that two lost ones do no harm. */
  static final int REPEATS = 3;

  /**
   * A server's state.
   *
   * @param incarnation incarnation of the server
   * @param version version of its weights of the model
   * @param loading whether it is carrying out an order for the model
   */
  public record Statement(String incarnation, String model, int version, boolean loading) {

    private Subject subject() {
      return new Subject(incarnation, model);
    }
  }

  private record Subject(String incarnation, String model) {}

  private final Clock clock;
  private final ServerLoads loads;
  private final Map<Subject, Statement> known = new HashMap<>();
  private final Map<Subject, Integer> unsent = new LinkedHashMap<>();
  private boolean giving;
  private long sentMs;
  private long heardMs;

  /**
   * Creates statements.
   *
   * @param loads states of the servers as this entry knows them
   */
  public WeightStatements(Clock clock, ServerLoads loads) {
    this.clock = clock;
    this.loads = loads;
    this.sentMs = clock.nowMs() - REPEAT_MS;
    this.heardMs = clock.nowMs() - HEARD_MS;
  }

  /** Sets whether this entry gives orders; only then it makes statements. */
  public synchronized void setGiving(boolean gives) {
    if (!gives) {
      known.clear();
      unsent.clear();
    }
    giving = gives;
  }

  /** Records what a server has reported, or that it has accepted an order. */
  public synchronized void record(
      BackendServer server, String model, int version, boolean loading) {
    Statement s = new Statement(server.incarnation(), model, version, loading);
    if (giving && !s.equals(known.put(s.subject(), s))) {
      unsent.put(s.subject(), REPEATS);
    }
  }

  /** Returns the statements to send now; empty lists show only that this entry gives orders. */
  public synchronized List<List<Statement>> takeDue(int maxItems) {
    long ageMs = clock.nowMs() - sentMs;
    boolean repeat = ageMs >= REPEAT_MS;
    if (!giving || ageMs < MIN_INTERVAL_MS || (unsent.isEmpty() && !repeat)) {
      return List.of();
    }
    sentMs = clock.nowMs();
    List<Statement> due = new ArrayList<>();
    known.forEach(
        (subject, s) -> {
          if (unsent.containsKey(subject) || (repeat && s.loading())) {
            due.add(s);
          }
        });
    unsent.replaceAll((subject, n) -> n - 1);
    unsent.values().removeIf(n -> n <= 0);
    List<List<Statement>> parts = new ArrayList<>();
    for (int i = 0; i == 0 || i < due.size(); i += maxItems) {
      parts.add(List.copyOf(due.subList(i, Math.min(due.size(), i + maxItems))));
    }
    return parts;
  }

  /** Applies the statements of another entry to the listed servers. */
  public synchronized void accept(List<Statement> statements, FleetState state) {
    heardMs = clock.nowMs();
    Map<String, List<Statement>> byServer =
        statements.stream().collect(Collectors.groupingBy(Statement::incarnation));
    for (BackendServer server : state.servers().values()) {
      List<Statement> stated = byServer.getOrDefault(server.incarnation(), List.of());
      if (!stated.isEmpty()) {
        apply(stated, loads.of(server));
      }
    }
  }

  private static void apply(List<Statement> stated, ServerLoad load) {
    // A new version of one model ends the load that the server was known to carry out.
    stated.forEach(s -> load.recordWeights(s.model(), s.version()));
    if (stated.stream()
        .anyMatch(s -> s.loading() && s.version() >= load.reportedWeights(s.model()))) {
      load.recordLoading();
    }
  }

  /** Returns whether another entry has made statements within {@link #HEARD_MS}. */
  public synchronized boolean isHeard() {
    return clock.nowMs() - heardMs < HEARD_MS;
  }
}

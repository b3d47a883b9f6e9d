package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.cowslipyoke.util.Clock;

/**
 * Loads that the other entries report for the servers. A complete report replaces the previous one
 * of the same entry; a partial one, which an entry sends when a load changes, replaces the loads
 * that it contains. A lost report thus makes the data older until the next complete one.
 * Thread-safe.
 */
public final class PeerLoads {

  /**
   * Maximum age at which a report is used, in milliseconds. Allows for one lost complete report at
   * the interval that {@code PeerReportExchange} has.
   */
  static final long MAX_AGE_MS = 1_500;

  /** Maximum number of peers tracked; above the 400 entries of the largest planned deployment. */
  private static final int MAX_PEERS = 1_024;

  /**
   * Load that requests of one rank of urgency put on a server.
   *
   * @param inFlight requests in flight
   * @param prefillTokens prompt tokens that the server still has to prefill
   * @param residentTokens tokens of the requests in the server's memory
   */
  public record RankLoad(int inFlight, long prefillTokens, long residentTokens) {

    /** No load. */
    public static final RankLoad NONE = new RankLoad(0, 0, 0);

    private RankLoad plus(RankLoad o, int sign) {
      return new RankLoad(
          inFlight + sign * o.inFlight,
          prefillTokens + sign * o.prefillTokens,
          residentTokens + sign * o.residentTokens);
    }
  }

  /**
   * Load of one server.
   *
   * @param ranks load by {@link UrgencyRank}, the most urgent first
   */
  public record Load(List<RankLoad> ranks) {

    /** The load of an idle server. */
    public static final Load NONE = new Load(0, 0, 0);

    /** Creates a load of unknown urgency, which delays requests of every rank. */
    public Load(int inFlight, long prefillTokens, long residentTokens) {
      this(Map.of(UrgencyRank.MOST_URGENT, new RankLoad(inFlight, prefillTokens, residentTokens)));
    }

    /** Creates a load from those of some ranks. */
    public Load(Map<Integer, RankLoad> byRank) {
      this(
          IntStream.range(0, UrgencyRank.COUNT)
              .mapToObj(r -> byRank.getOrDefault(r, RankLoad.NONE))
              .toList());
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
      return ranks.stream().mapToInt(RankLoad::inFlight).sum();
    }

    /** Returns the number of prompt tokens that the server still has to prefill. */
    public long prefillTokens() {
      return ranks.stream().mapToLong(RankLoad::prefillTokens).sum();
    }

    /** Returns the number of tokens of the requests in the server's memory. */
    public long residentTokens() {
      return ranks.stream().mapToLong(RankLoad::residentTokens).sum();
    }

    /** Returns the load of requests that are as urgent as a rank or more. */
    public Load upTo(int rank) {
      return combine((r, l) -> r <= rank ? l : RankLoad.NONE);
    }

    /** Returns the sum of two loads. */
    public Load plus(Load o) {
      return combine((r, l) -> l.plus(o.ranks.get(r), 1));
    }

    /** Returns the difference of two loads. */
    Load minus(Load o) {
      return combine((r, l) -> l.plus(o.ranks.get(r), -1));
    }

    /** Returns a multiple of the load, rounded to whole requests and tokens. */
    Load times(double factor) {
      return combine(
          (r, l) ->
              new RankLoad(
                  (int) Math.round(l.inFlight * factor),
                  Math.round(l.prefillTokens * factor),
                  Math.round(l.residentTokens * factor)));
    }

    private Load combine(BiFunction<Integer, RankLoad, RankLoad> f) {
      RankLoad[] combined = new RankLoad[UrgencyRank.COUNT];
      for (int r = 0; r < combined.length; r++) {
        combined[r] = f.apply(r, ranks.get(r));
      }
      return new Load(List.of(combined));
    }
  }

  /**
   * Load report of one entry.
   *
   * @param vm name of the entry
   * @param startedMs start time of the entry in Unix milliseconds; a restarted entry numbers its
   *     reports from the beginning
   * @param sequence number of the report, increasing within a run of the entry
   * @param loads load by server incarnation; a complete report omits idle servers
   * @param partial whether loads that the report does not contain are unchanged
   */
  public record Report(
      String vm, long startedMs, long sequence, Map<String, Load> loads, boolean partial) {

    /** Creates a complete report. */
    public Report(String vm, long startedMs, long sequence, Map<String, Load> loads) {
      this(vm, startedMs, sequence, loads, false);
    }
  }

  private record Received(long startedMs, long sequence, Map<String, Load> loads, long atMs) {}

  private final Clock clock;
  private final Map<String, Received> byVm = new HashMap<>();

  /** Sum of the loads in all used reports, by server incarnation; idle servers are omitted. */
  private final Map<String, Load> totals = new ConcurrentHashMap<>();

  private volatile int fresh;

  /** Time at which the oldest used report expires. */
  private volatile long nextExpiryMs = Long.MAX_VALUE;

  /** Creates an empty record. */
  public PeerLoads(Clock clock) {
    this.clock = clock;
  }

  /** Stores a report, unless a newer one of the same entry was received before. */
  public synchronized void accept(Report r) {
    expire();
    Received old = byVm.get(r.vm());
    if (old == null ? byVm.size() >= MAX_PEERS : !replaces(r, old)) {
      return;
    }
    boolean continues = r.partial() && old != null && old.startedMs() == r.startedMs();
    Map<String, Load> before = old == null ? Map.of() : old.loads();
    Map<String, Load> next = continues ? new HashMap<>(before) : new HashMap<>();
    r.loads()
        .forEach(
            (incarnation, load) -> {
              if (load.equals(Load.NONE)) {
                next.remove(incarnation);
              } else {
                next.put(incarnation, load);
              }
            });
    replaceInTotals(before, next);
    byVm.put(r.vm(), new Received(r.startedMs(), r.sequence(), next, clock.nowMs()));
    updateExpiry();
  }

  /** Returns the number of entries whose report is fresh. */
  public int freshCount() {
    expireIfDue();
    return fresh;
  }

  /** Returns the sum of the loads in fresh reports for a server. */
  public Load loadAt(BackendServer server) {
    expireIfDue();
    return totals.getOrDefault(server.incarnation(), Load.NONE);
  }

  private void expireIfDue() {
    if (clock.nowMs() >= nextExpiryMs) {
      synchronized (this) {
        expire();
        updateExpiry();
      }
    }
  }

  private void expire() {
    long now = clock.nowMs();
    byVm.values()
        .removeIf(
            x -> {
              boolean old = now - x.atMs() > MAX_AGE_MS;
              if (old) {
                replaceInTotals(x.loads(), Map.of());
              }
              return old;
            });
  }

  private void updateExpiry() {
    fresh = byVm.size();
    long oldestMs = byVm.values().stream().mapToLong(Received::atMs).min().orElse(Long.MAX_VALUE);
    nextExpiryMs = oldestMs == Long.MAX_VALUE ? oldestMs : oldestMs + MAX_AGE_MS + 1;
  }

  private void replaceInTotals(Map<String, Load> before, Map<String, Load> next) {
    before.forEach(
        (incarnation, load) -> {
          if (!load.equals(next.get(incarnation))) {
            add(incarnation, Load.NONE.minus(load));
          }
        });
    next.forEach(
        (incarnation, load) -> {
          if (!load.equals(before.get(incarnation))) {
            add(incarnation, load);
          }
        });
  }

  private void add(String incarnation, Load change) {
    totals.merge(
        incarnation,
        change,
        (a, b) -> {
          Load sum = a.plus(b);
          return sum.equals(Load.NONE) ? null : sum;
        });
  }

  private static boolean replaces(Report r, Received old) {
    return r.startedMs() != old.startedMs()
        ? r.startedMs() > old.startedMs()
        : r.sequence() > old.sequence();
  }
}

package org.cowslipyoke.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.util.Clock;

/**
 * Work that the other entries have at the servers, as they report it. A report replaces the one
 * before, so a lost report costs its age only. Thread-safe.
 */
public final class PeerLoads {

  /**
   * Age above which a report is not used, in milliseconds. Five reports may be lost at the interval
   * that {@code PeerReportExchange} has with the 24 entries of today's largest deployment.
   */
  static final long MAX_AGE_MS = 1_500;

  /** Peers remembered; above the 400 entries of the target size. */
  private static final int MAX_PEERS = 1_024;

  /**
   * Work at one server.
   *
   * @param inFlight requests
   * @param prefillTokens prompt tokens that the server still has to read
   * @param residentTokens tokens that the requests keep in the server's memory
   */
  public record Load(int inFlight, long prefillTokens, long residentTokens) {

    /** No work. */
    public static final Load NONE = new Load(0, 0, 0);

    /** Returns the sum of two loads. */
    public Load plus(Load o) {
      return new Load(
          inFlight + o.inFlight,
          prefillTokens + o.prefillTokens,
          residentTokens + o.residentTokens);
    }
  }

  /**
   * What one entry reports.
   *
   * @param vm the entry
   * @param startedMs Unix milliseconds of its start; a restarted entry counts its reports anew
   * @param sequence number of the report, larger than that of all before
   * @param loads work by incarnation of a server; servers without work are left out
   */
  public record Report(String vm, long startedMs, long sequence, Map<String, Load> loads) {}

  private record Received(Report report, long atMs) {}

  private final Clock clock;
  private final Map<String, Received> byVm = new ConcurrentHashMap<>();

  /** Creates an empty record. */
  public PeerLoads(Clock clock) {
    this.clock = clock;
  }

  /** Takes a report; one that was overtaken by a newer one is ignored. */
  public void accept(Report r) {
    if (byVm.size() >= MAX_PEERS && !byVm.containsKey(r.vm())) {
      byVm.values().removeIf(x -> clock.nowMs() - x.atMs() > MAX_AGE_MS);
      if (byVm.size() >= MAX_PEERS) {
        return;
      }
    }
    Received next = new Received(r, clock.nowMs());
    byVm.merge(r.vm(), next, (old, n) -> replaces(n, old) ? n : old);
  }

  /** Returns the number of entries whose report is fresh. */
  public int fresh() {
    long now = clock.nowMs();
    return (int) byVm.values().stream().filter(x -> now - x.atMs() <= MAX_AGE_MS).count();
  }

  /** Returns the work of all entries with a fresh report at a server. */
  public Load loadAt(BackendServer server) {
    long now = clock.nowMs();
    Load sum = Load.NONE;
    for (Received x : byVm.values()) {
      Load l = x.report().loads().get(server.incarnation());
      if (l != null && now - x.atMs() <= MAX_AGE_MS) {
        sum = sum.plus(l);
      }
    }
    return sum;
  }

  /** An entry that restarts after its wall clock was set back has an earlier start. */
  private static boolean replaces(Received next, Received old) {
    Report a = next.report();
    Report b = old.report();
    boolean newer =
        a.startedMs() != b.startedMs()
            ? a.startedMs() > b.startedMs()
            : a.sequence() > b.sequence();
    return newer || next.atMs() - old.atMs() > MAX_AGE_MS;
  }
}

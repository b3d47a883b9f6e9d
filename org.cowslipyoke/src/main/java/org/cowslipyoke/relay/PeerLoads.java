package org.cowslipyoke.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.util.Clock;

/**
 * Loads that the other entries report for the servers. Each report replaces the previous one of the
 * same entry, so a lost report only makes the data older. Thread-safe.
 */
public final class PeerLoads {

  /**
   * Maximum age at which a report is used, in milliseconds. Allows for five lost reports at the
   * interval that {@code PeerReportExchange} has with 24 entries, the largest deployment.
   */
  static final long MAX_AGE_MS = 1_500;

  /** Maximum number of peers tracked; above the 400 entries of the largest planned deployment. */
  private static final int MAX_PEERS = 1_024;

  /**
   * Load of one server.
   *
   * @param inFlight requests in flight
   * @param prefillTokens prompt tokens that the server still has to prefill
   * @param residentTokens tokens of the requests in the server's memory
   */
  public record Load(int inFlight, long prefillTokens, long residentTokens) {

    /** The load of an idle server. */
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
   * Load report of one entry.
   *
   * @param vm name of the entry
   * @param startedMs start time of the entry in Unix milliseconds; a restarted entry numbers its
   *     reports from the beginning
   * @param sequence number of the report, increasing within a run of the entry
   * @param loads load by server incarnation; idle servers are omitted
   */
  public record Report(String vm, long startedMs, long sequence, Map<String, Load> loads) {}

  private record Received(Report report, long atMs) {}

  private final Clock clock;
  private final Map<String, Received> byVm = new ConcurrentHashMap<>();

  /** Creates an empty record. */
  public PeerLoads(Clock clock) {
    this.clock = clock;
  }

  /** Stores a report, unless a newer one of the same entry was received before. */
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
  public int freshCount() {
    long now = clock.nowMs();
    return (int) byVm.values().stream().filter(x -> now - x.atMs() <= MAX_AGE_MS).count();
  }

  /** Returns the sum of the loads in fresh reports for a server. */
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

  /**
   * Returns whether a report replaces another one. An entry that restarts after its wall clock was
   * set back has an earlier start time, so any report replaces one that is too old.
   */
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

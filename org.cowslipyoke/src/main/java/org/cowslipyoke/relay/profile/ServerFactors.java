package org.cowslipyoke.relay.profile;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.cowslipyoke.relay.profile.PeerProfiles.Pooled;
import org.cowslipyoke.relay.profile.ProfileDigest.ServerDigest;

/**
 * Factors of single servers against the model of their service: a lasting one, and how slow they
 * are now. Factors of a service have the geometric mean 1, because the model states the usual
 * speed. Not thread-safe.
 */
final class ServerFactors {

  /** Number of times to the first token that the assumption of a usual speed weighs. */
  private static final double PRIOR_COUNT = 6;

  /** Limits of the lasting factor; the sheets state differences of 1.3. */
  private static final double MIN_LASTING = 0.6;

  private static final double MAX_LASTING = 2.5;

  /** Runs and servers with evidence from which their common slowness is told apart. */
  private static final int MIN_COMMON_RUNS = 6;

  private static final int MIN_COMMON_SERVERS = 3;

  /** Real over expected time of all servers up to which no common slowness is assumed. */
  private static final double MIN_COMMON = 1.2;

  private static final double[] NO_PACES = {};

  private Map<Integer, Double> lasting = Map.of();
  private Map<Integer, Pooled> peers = Map.of();
  private final Set<Integer> reportedSlow = new HashSet<>();
  private boolean newlySlow;

  /** Returns the lasting factor of a server. */
  double lasting(ServerEvidence s) {
    return lasting.getOrDefault(s.key(), 1.0);
  }

  /** Returns the factor by which a server is slow now. */
  double slowness(ServerEvidence s) {
    Pooled p = s.hasCurrentPaces() ? null : peers.get(s.key());
    return Math.max(s.slowness(), p == null ? 1 : p.slowness());
  }

  /** Returns whether a server has become slow since the last digest. */
  boolean hasNewlySlow() {
    return newlySlow;
  }

  /** Combines the lasting factors with the evidence of other entries. */
  void combine(Collection<ServerEvidence> servers, Map<Integer, Pooled> pooled) {
    peers = pooled;
    Map<Integer, Double> logs = new HashMap<>();
    Map<String, double[]> sums = new HashMap<>();
    for (ServerEvidence s : servers) {
      Pooled p = pooled.get(s.key());
      double count = s.count() + (p == null ? 0 : p.count());
      double log = (s.logSum() + (p == null ? 0 : p.logSum())) / (PRIOR_COUNT + count);
      logs.put(s.key(), log);
      double[] sum = sums.computeIfAbsent(s.service(), k -> new double[2]);
      double weight = count / (PRIOR_COUNT + count);
      sum[0] += weight * log;
      sum[1] += weight;
    }
    Map<Integer, Double> next = new HashMap<>();
    for (ServerEvidence s : servers) {
      double[] sum = sums.getOrDefault(s.service(), new double[2]);
      double mean = sum[1] == 0 ? 0 : sum[0] / sum[1];
      double factor = Math.exp(logs.getOrDefault(s.key(), 0.0) - mean);
      next.put(s.key(), Math.max(MIN_LASTING, Math.min(MAX_LASTING, factor)));
    }
    lasting = next;
  }

  /**
   * Updates how slow servers are now. What makes all of them seem slow is taken for a slowness of
   * this entry. Returns whether a factor has changed.
   *
   * @param gapMs expected gap between contents of a server in milliseconds, NaN if not known
   */
  boolean updateSlowness(
      long nowMs, Collection<ServerEvidence> servers, ToDoubleFunction<ServerEvidence> gapMs) {
    Map<ServerEvidence, double[]> paces = new LinkedHashMap<>();
    boolean changed = false;
    List<Double> all = new ArrayList<>();
    int seen = 0;
    for (ServerEvidence s : servers) {
      if (s.isIdle()) {
        s.update(nowMs, NO_PACES, 1);
      } else {
        double[] own = s.paces(nowMs, gapMs.applyAsDouble(s));
        paces.put(s, own);
        seen += own.length > 0 ? 1 : 0;
        for (double p : own) {
          all.add(p);
        }
      }
    }
    double common = 1;
    if (all.size() >= MIN_COMMON_RUNS && seen >= MIN_COMMON_SERVERS) {
      double median = ServerEvidence.median(all.stream().mapToDouble(x -> x).toArray());
      common = median > MIN_COMMON ? median : 1;
    }
    for (Map.Entry<ServerEvidence, double[]> e : paces.entrySet()) {
      ServerEvidence s = e.getKey();
      double before = s.slowness();
      s.update(nowMs, e.getValue(), common);
      changed |= s.slowness() != before;
      newlySlow |= s.slowness() > ServerEvidence.SLOW && !reportedSlow.contains(s.key());
    }
    return changed;
  }

  /** Returns the evidence to report, that on the servers with most of it first. */
  List<ServerDigest> digests(Collection<ServerEvidence> servers) {
    newlySlow = false;
    reportedSlow.clear();
    List<ServerDigest> digests = new ArrayList<>();
    for (ServerEvidence s : servers) {
      if (s.slowness() > ServerEvidence.SLOW) {
        reportedSlow.add(s.key());
      }
      if (s.count() >= 1 || s.slowness() > ServerEvidence.SLOW) {
        double mean = s.count() == 0 ? 0 : s.logSum() / s.count();
        digests.add(new ServerDigest(s.key(), mean, s.count(), s.slowness()));
      }
    }
    digests.sort(
        Comparator.comparingDouble(ServerDigest::slowness)
            .thenComparingDouble(ServerDigest::count)
            .reversed());
    return List.copyOf(digests.subList(0, Math.min(ProfileDigest.MAX_SERVERS, digests.size())));
  }
}

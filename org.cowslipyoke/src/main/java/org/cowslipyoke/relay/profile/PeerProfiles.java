package org.cowslipyoke.relay.profile;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.profile.ProfileDigest.ServerDigest;
import org.cowslipyoke.util.Clock;

/**
 * Digests of the other entries. The newest of each entry counts until it is too old. What one entry
 * reports has bounded influence: values and counts are limited, and one entry alone can't make a
 * server count as very slow. Not thread-safe.
 */
final class PeerProfiles {

  /** Age from which a digest is ignored, in milliseconds; allows for three lost ones. */
  static final long MAX_AGE_MS = 8_000;

  /**
   * Half-life of reported slowness in milliseconds; a pause has usually ended when the next digest
   * is due.
   */
  static final double SLOWNESS_HALF_LIFE_MS = 500;

  /** Maximum number of entries tracked; above the 400 of the largest planned deployment. */
  private static final int MAX_PEERS = 1_024;

  /** Number of times from which the evidence of an entry counts fully. */
  private static final double MAX_COUNT = 20;

  /** Largest mean logarithm that counts. */
  private static final double MAX_LOG = 0.7;

  /** Greatest factor that one entry alone can report. */
  private static final double MAX_SINGLE_SLOWNESS = 2;

  private record Received(ProfileDigest digest, long atMs) {}

  /** Evidence of all other entries about one server. */
  static final class Pooled {
    private double logSum;
    private double count;
    private final List<Double> slowness = new ArrayList<>();

    /** Returns the sum of the logarithms of times to the first token over their expectation. */
    double logSum() {
      return logSum;
    }

    /** Returns the effective number of these times. */
    double count() {
      return count;
    }

    /** Returns the factor by which the server is slow now, 1 if it is not. */
    double slowness() {
      if (slowness.isEmpty()) {
        return 1;
      }
      double median = ServerEvidence.median(slowness.stream().mapToDouble(s -> s).toArray());
      double limit = slowness.size() > 1 ? ServerEvidence.MAX_SLOWNESS : MAX_SINGLE_SLOWNESS;
      return Math.min(limit, median);
    }

    private void add(ServerDigest d, long ageMs) {
      double n = Math.max(0, Math.min(MAX_COUNT, d.count()));
      if (!Double.isNaN(d.meanLog())) {
        logSum += n * Math.max(-MAX_LOG, Math.min(MAX_LOG, d.meanLog()));
        count += n;
      }
      double excess = Math.min(ServerEvidence.MAX_SLOWNESS, d.slowness()) - 1;
      double left = excess * Math.pow(0.5, ageMs / SLOWNESS_HALF_LIFE_MS);
      if (left > ServerEvidence.SLOW - 1) {
        slowness.add(1 + left);
      }
    }
  }

  private final Clock clock;
  private final Map<String, Received> byVm = new HashMap<>();
  private long expiredMs;

  PeerProfiles(Clock clock) {
    this.clock = clock;
    this.expiredMs = clock.nowMs();
  }

  /** Stores a digest; returns whether its entry was not known in this run before. */
  boolean accept(ProfileDigest d) {
    expire();
    Received old = byVm.get(d.vm());
    if (old == null) {
      if (byVm.size() >= MAX_PEERS) {
        return false;
      }
    } else if (old.digest().startedMs() > d.startedMs()
        || (old.digest().startedMs() == d.startedMs() && old.digest().sequence() >= d.sequence())) {
      return false;
    }
    byVm.put(d.vm(), new Received(d, clock.nowMs()));
    return old == null || old.digest().startedMs() != d.startedMs();
  }

  /** Returns the names of the entries with a fresh digest. */
  List<String> names() {
    expire();
    return List.copyOf(byVm.keySet());
  }

  /** Returns the reported models of a service. */
  List<LearnedModel> models(String service) {
    expire();
    List<LearnedModel> models = new ArrayList<>();
    for (Received r : byVm.values()) {
      LearnedModel m = r.digest().services().get(service);
      if (m != null) {
        models.add(m);
      }
    }
    return models;
  }

  /** Returns the services of all reports. */
  List<String> services() {
    expire();
    return byVm.values().stream()
        .flatMap(r -> r.digest().services().keySet().stream())
        .distinct()
        .toList();
  }

  /** Returns the pooled evidence by server. */
  Map<Integer, Pooled> servers() {
    expire();
    Map<Integer, Pooled> pooled = new HashMap<>();
    long now = clock.nowMs();
    for (Received r : byVm.values()) {
      for (ServerDigest d : r.digest().servers()) {
        pooled.computeIfAbsent(d.key(), k -> new Pooled()).add(d, now - r.atMs());
      }
    }
    return pooled;
  }

  private void expire() {
    long now = clock.nowMs();
    if (now == expiredMs) {
      return;
    }
    expiredMs = now;
    byVm.values().removeIf(r -> now - r.atMs() > MAX_AGE_MS);
  }
}

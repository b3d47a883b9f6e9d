package org.cowslipyoke.relay.profile;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Set;
import org.cowslipyoke.relay.BackendServer;

/**
 * What this entry has seen of the speed of one server incarnation: a lasting factor against its
 * service from times to the first token, and how slow it is now from what runs there. Not
 * thread-safe.
 */
final class ServerEvidence {

  /**
   * Largest logarithm of a time over its expectation that counts; limits the weight of outliers.
   */
  private static final double MAX_LOG = 0.7;

  /** Factor by which earlier times are discounted at each further one: the last 20 count. */
  private static final double DECAY = 0.95;

  /** Real over expected time from which a server counts as slow; below it is the usual noise. */
  static final double SLOW = 1.5;

  /** Greatest factor for a server that is slow now; longer waits can't be told from its pace. */
  static final double MAX_SLOWNESS = 6;

  /** Number of runs that must agree before a server counts as slow. */
  private static final int MIN_RUNS = 2;

  /**
   * Half-life of the factor without evidence, in milliseconds. Without runs only a further request
   * can show that a server is fast again.
   */
  private static final double HALF_LIFE_MS = 300;

  /** Ended runs whose pace still counts. */
  private static final int MAX_ENDED = 8;

  private final BackendServer server;
  private final String incarnation;
  private final Set<StreamProgress> running = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<StreamProgress> ended = new ArrayDeque<>();
  private double logSum;
  private double count;
  private double slowness = 1;
  private long slowSeenMs;
  private boolean currentPaces;

  ServerEvidence(BackendServer server) {
    this.server = server;
    this.incarnation = server.incarnation();
  }

  BackendServer server() {
    return server;
  }

  String service() {
    return server.group();
  }

  String incarnation() {
    return incarnation;
  }

  /** Returns the name of the incarnation in digests. */
  int key() {
    return incarnation.hashCode();
  }

  Set<StreamProgress> running() {
    return running;
  }

  void add(StreamProgress run) {
    running.add(run);
  }

  /** Records the end of a run. */
  void remove(StreamProgress run) {
    running.remove(run);
    if (run.isBegun()) {
      ended.addLast(run);
      if (ended.size() > MAX_ENDED) {
        ended.removeFirst();
      }
    }
  }

  /** Records a time to the first token as a multiple of that of a usual server of its service. */
  void recordFirst(double ratio) {
    double log = Math.log(Math.max(1e-3, ratio));
    logSum = DECAY * logSum + Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
    count = DECAY * count + 1;
  }

  /** Returns the effective number of times that the lasting factor rests on. */
  double count() {
    return count;
  }

  /** Returns the sum of the logarithms of these times over their expectation. */
  double logSum() {
    return logSum;
  }

  /** Returns whether nothing depends on this evidence any more. */
  boolean isIdle() {
    return running.isEmpty() && ended.isEmpty() && slowness == 1;
  }

  /** Returns the real over the expected times of what runs or has just run at the server. */
  double[] paces(long nowMs, double gapMs) {
    ended.removeIf(r -> Double.isNaN(r.lastPace(nowMs)));
    double[] all = new double[running.size() + ended.size()];
    int n = 0;
    for (StreamProgress r : running) {
      double pace = r.slowness(nowMs, gapMs);
      all[n] = pace;
      n += Double.isNaN(pace) ? 0 : 1;
    }
    for (StreamProgress r : ended) {
      all[n++] = r.lastPace(nowMs);
    }
    double[] known = Arrays.copyOf(all, n);
    Arrays.sort(known);
    return known;
  }

  /**
   * Updates how slow the server is now.
   *
   * @param paces sorted real over expected times
   * @param common factor by which all servers seem slow, which is this entry's own slowness
   */
  void update(long nowMs, double[] paces, double common) {
    currentPaces = paces.length >= MIN_RUNS;
    if (currentPaces) {
      // Of an even number the lower one, so that one of two runs decides nothing.
      double median = paces[(paces.length - 1) / 2] / common;
      slowness = median < SLOW ? 1 : Math.min(MAX_SLOWNESS, median);
      slowSeenMs = nowMs;
    } else if (slowness > 1) {
      double left = (slowness - 1) * Math.pow(0.5, (nowMs - slowSeenMs) / HALF_LIFE_MS);
      slowness = left < 0.1 ? 1 : 1 + left;
      slowSeenMs = nowMs;
    }
  }

  /** Returns the factor by which the server is slow now, 1 if it is not. */
  double slowness() {
    return slowness;
  }

  /** Returns whether the last update rests on runs of this entry. */
  boolean hasCurrentPaces() {
    return currentPaces;
  }

  /** Returns the lower median of values, which it sorts. */
  static double median(double[] values) {
    Arrays.sort(values);
    return values[(values.length - 1) / 2];
  }
}

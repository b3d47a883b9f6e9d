package org.cowslipyoke.relay.profile;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Errors of the expected times to the first token by service, as real over expected time. Bounded;
 * thread-safe.
 */
public final class EstimateErrors {

  /** Interval of summaries in milliseconds. */
  private static final long INTERVAL_MS = 10_000;

  /** Ratios kept per service within an interval; later ones replace the first. */
  private static final int MAX_RATIOS = 1_024;

  /** Maximum number of services; those above are not recorded. */
  private static final int MAX_SERVICES = 16;

  /**
   * Errors of one service in an interval.
   *
   * @param count number of first tokens
   * @param median median of real over expected time
   * @param p90 90th percentile of the same
   */
  public record Summary(String service, int count, double median, double p90) {}

  private static final class Ratios {
    private final double[] values = new double[MAX_RATIOS];
    private int count;

    Summary summary(String service) {
      double[] sorted = Arrays.copyOf(values, Math.min(count, MAX_RATIOS));
      Arrays.sort(sorted);
      return new Summary(service, count, sorted[sorted.length / 2], sorted[sorted.length * 9 / 10]);
    }
  }

  private final Map<String, Ratios> byService = new HashMap<>();
  private long startMs;

  /** Records a time; returns the summaries of the interval if it is over, else an empty list. */
  public synchronized List<Summary> record(
      String service, double tookMs, double expectedMs, long nowMs) {
    if (byService.isEmpty()) {
      startMs = nowMs;
    }
    Ratios r = byService.get(service);
    if (r == null && byService.size() < MAX_SERVICES) {
      r = new Ratios();
      byService.put(service, r);
    }
    if (r != null) {
      r.values[r.count % MAX_RATIOS] = tookMs / Math.max(1, expectedMs);
      r.count++;
    }
    if (nowMs - startMs < INTERVAL_MS) {
      return List.of();
    }
    startMs = nowMs;
    List<Summary> all = new ArrayList<>();
    byService.forEach((s, ratios) -> all.add(ratios.summary(s)));
    byService.clear();
    return all;
  }
}

package org.cowslipyoke.failover;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.cowslipyoke.relay.AttemptEnd;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.util.Clock;

/**
 * Fraction of the runs of each service that broke off, over the last minutes. Engines fail many at
 * a time and without a sign before, so a prior keeps copies on through calm minutes.
 */
public final class LossRate implements AttemptObserver {

  /** Half-life of the weight of a run, in milliseconds. */
  static final double HALF_LIFE_MS = 120_000;

  /** Fraction assumed before any run was seen. */
  static final double PRIOR = 0.02;

  /** Number of runs that the prior counts as. */
  static final double PRIOR_RUNS = 2_000;

  private static final class Counts {
    private double runs;
    private double lost;
    private long atMs;
  }

  private final Clock clock;
  private final Predicate<BackendServer> isLost;
  private final Map<String, Counts> services = new ConcurrentHashMap<>();

  /**
   * Creates the rates of services without runs.
   *
   * @param isLost whether an engine has fallen silent; its runs are lost also if their callers
   *     leave before
   */
  public LossRate(Clock clock, Predicate<BackendServer> isLost) {
    this.clock = clock;
    this.isLost = isLost;
  }

  @Override
  public void ended(Attempt a, Ended e) {
    if (a.plan() == null || e.end() == AttemptEnd.REFUSED || e.end() == AttemptEnd.NOT_SENT) {
      return;
    }
    boolean broken = e.end() == AttemptEnd.BROKEN;
    record(a.service(), broken && (!e.callerLeft() || isLost.test(a.server())));
  }

  /** Records the end of a run. */
  void record(String service, boolean lost) {
    Counts c = services.computeIfAbsent(service, s -> new Counts());
    synchronized (c) {
      decay(c);
      c.runs++;
      c.lost += lost ? 1 : 0;
    }
  }

  /** Returns the expected fraction of the runs of a service that break off. */
  public double of(String service) {
    Counts c = services.get(service);
    if (c == null) {
      return PRIOR;
    }
    synchronized (c) {
      decay(c);
      return (c.lost + PRIOR * PRIOR_RUNS) / (c.runs + PRIOR_RUNS);
    }
  }

  private void decay(Counts c) {
    long now = clock.nowMs();
    double factor = Math.pow(0.5, (now - c.atMs) / HALF_LIFE_MS);
    c.runs *= factor;
    c.lost *= factor;
    c.atMs = now;
  }
}

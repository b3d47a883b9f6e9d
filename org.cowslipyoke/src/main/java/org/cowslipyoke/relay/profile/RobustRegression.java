package org.cowslipyoke.relay.profile;

import java.util.Arrays;

/**
 * Damped robust linear regression of times. Each coefficient is a multiple ("ratio") of a unit, in
 * a range around an expected ratio. Errors count relative to the expected time, and a large one
 * counts in proportion to its size instead of its square, so no single time decides. Older times
 * are forgotten exponentially. Not thread-safe.
 */
final class RobustRegression {

  /** Relative error from which a time counts less. */
  private static final double ROBUST_ERROR = 0.3;

  /** Variance of the relative error of a time; weighs the prior against the times. */
  private static final double NOISE_VARIANCE = 0.06;

  /** Time below which errors count as absolute, in milliseconds. */
  private static final double FLOOR_MS = 15;

  /** Factor by which earlier times are discounted at each further one: the last 300 count. */
  private static final double DECAY = 1 - 1.0 / 300;

  /** Passes of coordinate descent for each time; later times go on from the result. */
  private static final int PASSES = 4;

  /**
   * Prior of a coefficient.
   *
   * @param value unit of the coefficient
   * @param ratio expected ratio of the coefficient to it
   * @param deviation standard deviation of its ratio
   * @param minRatio least ratio
   * @param maxRatio greatest ratio
   */
  record Prior(double value, double ratio, double deviation, double minRatio, double maxRatio) {}

  private final Prior[] priors;
  private final double[] ratios;
  private final double[][] moments;
  private final double[] targets;
  private double count;

  RobustRegression(Prior... priors) {
    this.priors = priors.clone();
    this.ratios = priorRatios();
    this.moments = new double[priors.length][priors.length];
    this.targets = new double[priors.length];
  }

  /** Returns the effective number of times that the coefficients rest on. */
  double count() {
    return count;
  }

  /** Returns the ratios that are expected without any time. */
  double[] priorRatios() {
    return Arrays.stream(priors).mapToDouble(Prior::ratio).toArray();
  }

  /** Returns the current ratios. */
  double[] ratios() {
    return ratios.clone();
  }

  /** Returns the time that ratios predict, in milliseconds. */
  double predict(double[] r, double... features) {
    double sum = 0;
    for (int j = 0; j < features.length; j++) {
      sum += features[j] * priors[j].value() * r[j];
    }
    return sum;
  }

  /** Limits ratios to their range; returns whether each is a number. */
  boolean limit(double[] r) {
    for (int j = 0; j < r.length; j++) {
      if (Double.isNaN(r[j])) {
        return false;
      }
      r[j] = Math.max(priors[j].minRatio(), Math.min(priors[j].maxRatio(), r[j]));
    }
    return r.length == priors.length;
  }

  /** Learns a time in milliseconds. */
  void accept(double tookMs, double... features) {
    double expectedMs = Math.max(FLOOR_MS, predict(ratios, features));
    double error = Math.abs(tookMs - predict(ratios, features)) / expectedMs;
    double weight = error <= ROBUST_ERROR ? 1 : ROBUST_ERROR / error;
    double[] z = new double[features.length];
    double priorMs = 0;
    for (int j = 0; j < z.length; j++) {
      z[j] = features[j] * priors[j].value() / expectedMs;
      priorMs += features[j] * priors[j].value() * priors[j].ratio();
    }
    double target = (tookMs - priorMs) / expectedMs;
    for (int j = 0; j < z.length; j++) {
      for (int k = 0; k < z.length; k++) {
        moments[j][k] = DECAY * moments[j][k] + weight * z[j] * z[k];
      }
      targets[j] = DECAY * targets[j] + weight * z[j] * target;
    }
    count = DECAY * count + 1;
    for (int i = 0; i < PASSES; i++) {
      descend();
    }
  }

  private void descend() {
    for (int j = 0; j < ratios.length; j++) {
      Prior p = priors[j];
      double damping = NOISE_VARIANCE / (p.deviation() * p.deviation());
      double rest = targets[j];
      for (int k = 0; k < ratios.length; k++) {
        rest -= k == j ? 0 : moments[j][k] * (ratios[k] - priors[k].ratio());
      }
      double ratio = p.ratio() + rest / (moments[j][j] + damping);
      ratios[j] = Math.max(p.minRatio(), Math.min(p.maxRatio(), ratio));
    }
  }
}

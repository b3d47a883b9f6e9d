package org.cowslipyoke.relay.profile;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Weighted mean of the coefficients that several entries have learned. An entry counts by its times
 * up to a limit, and not at all if its model differs too much from the median model. Linear models
 * with a common form may be averaged coefficient by coefficient.
 */
final class Combination {

  /** Number of times from which an entry counts fully. */
  private static final double MAX_COUNT = 100;

  /** Factor by which the prediction of a model may differ from that of the median model. */
  private static final double MAX_DIFFERENCE = 2;

  private record Model(double[] ratios, double weight, double predictedMs) {}

  private final RobustRegression form;
  private final double[] reference;
  private final List<Model> models = new ArrayList<>();

  /**
   * Creates an empty combination.
   *
   * @param reference features by which models are compared
   */
  Combination(RobustRegression form, double... reference) {
    this.form = form;
    this.reference = reference.clone();
  }

  /** Adds a model; ignored if it is malformed or rests on nothing. */
  void add(double[] ratios, double count) {
    if (ratios.length == reference.length && count > 0 && form.limit(ratios)) {
      double weight = Math.min(MAX_COUNT, count);
      models.add(new Model(ratios, weight, form.predict(ratios, reference)));
    }
  }

  /** Returns the number of times that the models rest on. */
  double count() {
    return models.stream().mapToDouble(Model::weight).sum();
  }

  /** Returns the mean coefficients; the priors if there is no model. */
  double[] result() {
    double[] mean = new double[reference.length];
    double sum = 0;
    double median = median();
    for (Model m : models) {
      double ratio = m.predictedMs() / median;
      if (ratio <= MAX_DIFFERENCE && ratio >= 1 / MAX_DIFFERENCE) {
        sum += m.weight();
        for (int j = 0; j < mean.length; j++) {
          mean[j] += m.weight() * m.ratios()[j];
        }
      }
    }
    if (sum == 0) {
      return form.priorRatios();
    }
    for (int j = 0; j < mean.length; j++) {
      mean[j] /= sum;
    }
    return mean;
  }

  private double median() {
    List<Model> sorted =
        models.stream().sorted(Comparator.comparingDouble(Model::predictedMs)).toList();
    double half = count() / 2;
    double below = 0;
    for (Model m : sorted) {
      below += m.weight();
      if (below >= half) {
        return m.predictedMs();
      }
    }
    return 1;
  }
}

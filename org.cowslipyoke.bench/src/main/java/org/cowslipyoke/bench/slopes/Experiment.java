package org.cowslipyoke.bench.slopes;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One cost that is measured at several sizes.
 *
 * @param name short name, used on the command line
 * @param sizeUnit what is counted by the size
 * @param valueUnit unit of the measured value
 * @param sizes at least three sizes
 * @param target size in two years, for the extrapolation
 * @param measurement measures one run
 */
public record Experiment(
    String name,
    String sizeUnit,
    String valueUnit,
    List<Integer> sizes,
    double target,
    Measurement measurement) {

  /** Measures the cost at a size. */
  @FunctionalInterface
  public interface Measurement {

    /** Returns the value of one run. */
    double measure(int size, RandomGenerator random);
  }
}

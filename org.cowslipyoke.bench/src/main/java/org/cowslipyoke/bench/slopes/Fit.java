package org.cowslipyoke.bench.slopes;

import java.util.List;

/**
 * Line fitted to measurements by least squares.
 *
 * @param intercept value at size 0
 * @param slope growth for each unit of size
 * @param spread largest distance of a measurement from the line, as a share of the largest value
 */
public record Fit(double intercept, double slope, double spread) {

  /** A measured value at a size. */
  public record Point(double size, double value) {}

  /**
   * Fits a line.
   *
   * @throws IllegalArgumentException if fewer than three different sizes are given
   */
  public static Fit of(List<Point> points) {
    if (points.stream().mapToDouble(Point::size).distinct().count() < 3) {
      throw new IllegalArgumentException("a fit needs at least three different sizes");
    }
    double n = points.size();
    double meanSize = points.stream().mapToDouble(Point::size).sum() / n;
    double meanValue = points.stream().mapToDouble(Point::value).sum() / n;
    double covariance = 0;
    double variance = 0;
    for (Point p : points) {
      covariance += (p.size() - meanSize) * (p.value() - meanValue);
      variance += (p.size() - meanSize) * (p.size() - meanSize);
    }
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double max = points.stream().mapToDouble(p -> Math.abs(p.value())).max().orElse(0);
    double worst =
        points.stream()
            .mapToDouble(p -> Math.abs(p.value() - (intercept + slope * p.size())))
            .max()
            .orElse(0);
    return new Fit(intercept, slope, max == 0 ? 0 : worst / max);
  }

  /** Returns the value of the line at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }
}

package org.cowslipyoke.relay.profile;

import java.util.List;

/**
 * What one entry has learned about the engines of a service, as ratios of the coefficients to their
 * priors.
 *
 * @param first coefficients of the time to the first token
 * @param firstCount effective number of first tokens that they rest on
 * @param gap coefficients of the gap between two contents of a stream
 * @param gapCount effective number of gaps that they rest on
 */
public record LearnedModel(
    List<Double> first, double firstCount, List<Double> gap, double gapCount) {}

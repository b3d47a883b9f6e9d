package org.cowslipyoke.relay.profile;

import java.util.Arrays;
import java.util.List;
import org.cowslipyoke.relay.EngineProfile;
import org.cowslipyoke.relay.EngineProfile.Queue;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.profile.RobustRegression.Prior;

/**
 * Model of the engines of one service: the time to the first token and the gap between two contents
 * of a stream. The rate of prefill and the step per chunk can't be told apart by these times, so
 * they have one common ratio. Not thread-safe.
 */
final class ServiceModel {

  /** Number of coefficients of the time to the first token. */
  static final int FIRST_COEFFICIENTS = 5;

  /** Number of coefficients of the gap. */
  static final int GAP_COEFFICIENTS = 3;

  /** Number of gaps after which the model of gaps is used. */
  private static final int MIN_GAPS = 30;

  /** Tokens of a stream in one content, assumed before gaps are known; site files have 3 to 9. */
  private static final double INITIAL_TOKENS_PER_CONTENT = 6;

  /** Part of waiting tokens that is prefilled within one gap, assumed before gaps are known. */
  private static final double INITIAL_PREFILL_IN_GAP = 0.25;

  /**
   * Least part of the tokens of a long queue that delays a prompt: an engine can't have prefilled
   * more than this while they were counted.
   */
  private static final double MIN_LONG_FRACTION = 0.5;

  /** Features of a usual prompt, by which models of several entries are compared. */
  private static final double[] REFERENCE_FIRST = {1, 2_000, 20_000, 0, 0};

  /** Features of a usual gap, by which models of several entries are compared. */
  private static final double[] REFERENCE_GAP = {1, 10, 0};

  private static final EngineProfile INITIAL = EngineProfile.INITIAL;

  private static final double MS_PER_TOKEN =
      INITIAL.prefillMsPerToken() + INITIAL.stepMs() / INITIAL.chunkTokens();

  private static final double MS_PER_TOKEN_AND_REQUEST =
      INITIAL.stepMsPerRequest() / INITIAL.chunkTokens();

  /**
   * Coefficients of the overhead, a token, a token beside a running request, and of what each token
   * of a short and of a long queue delays less than a token of the prompt.
   */
  private final RobustRegression first =
      new RobustRegression(
          new Prior(INITIAL.firstTokenOverheadMs(), 1, 1, 0.02, 8),
          new Prior(MS_PER_TOKEN, 1, 0.7, 0.1, 8),
          new Prior(MS_PER_TOKEN_AND_REQUEST, 1, 0.3, 0, 4),
          new Prior(MS_PER_TOKEN, 0, 0.6, 0, 8),
          new Prior(MS_PER_TOKEN, 0, 0.4, 0, 8));

  private final RobustRegression gap =
      new RobustRegression(
          new Prior(INITIAL_TOKENS_PER_CONTENT * INITIAL.stepMs(), 1, 1, 0.05, 10),
          new Prior(INITIAL_TOKENS_PER_CONTENT * INITIAL.stepMsPerRequest(), 1, 0.5, 0, 10),
          new Prior(INITIAL_PREFILL_IN_GAP * MS_PER_TOKEN, 1, 0.5, 0, 8));

  private double[] firstRatios = first.ratios();
  private double[] gapRatios = gap.ratios();
  private double gapCount;
  private EngineProfile profile = INITIAL;

  /** Learns a time to the first token, of an engine of usual speed, in milliseconds. */
  void acceptFirst(double tookMs, long tokens, Load load) {
    first.accept(tookMs, firstFeatures(tokens, load));
  }

  /** Learns a gap between contents, of an engine of usual speed, in milliseconds. */
  void acceptGap(double tookMs, Load load) {
    gap.accept(tookMs, gapFeatures(load));
  }

  /** Returns the profile that own times and those of other entries give. */
  EngineProfile profile() {
    return profile;
  }

  /** Returns the expected gap between contents in milliseconds, NaN if it is not known. */
  double gapMs(Load load) {
    return gapCount < MIN_GAPS ? Double.NaN : gap.predict(gapRatios, gapFeatures(load));
  }

  /** Returns what this entry has learned itself. */
  LearnedModel own() {
    return new LearnedModel(list(first.ratios()), first.count(), list(gap.ratios()), gap.count());
  }

  /** Combines what this entry has learned with what others report. */
  void combine(Iterable<LearnedModel> peers) {
    Combination f = new Combination(first, REFERENCE_FIRST);
    Combination g = new Combination(gap, REFERENCE_GAP);
    f.add(first.ratios(), first.count());
    g.add(gap.ratios(), gap.count());
    for (LearnedModel p : peers) {
      f.add(array(p.first()), p.firstCount());
      g.add(array(p.gap()), p.gapCount());
    }
    firstRatios = f.result();
    gapRatios = g.result();
    gapCount = g.count();
    profile = toProfile(firstRatios);
  }

  private static EngineProfile toProfile(double[] r) {
    double token = Math.max(1e-9, r[1]);
    double shortFraction = Math.max(0, 1 - r[3] / token);
    double longFraction = Math.max(MIN_LONG_FRACTION, 1 - r[4] / token);
    Queue queue = new Queue(shortFraction, longFraction);
    return new EngineProfile(
        INITIAL.prefillMsPerToken() * r[1],
        INITIAL.chunkTokens(),
        INITIAL.stepMs() * r[1],
        INITIAL.stepMsPerRequest() * r[2],
        INITIAL.firstTokenOverheadMs() * r[0],
        queue,
        1);
  }

  private static double[] firstFeatures(long tokens, Load load) {
    double shortQueue = Math.min(load.prefillTokens(), Queue.KNEE_TOKENS);
    double longQueue = load.prefillTokens() - shortQueue;
    double all = tokens + shortQueue + longQueue;
    return new double[] {1, all, all * load.inFlight(), -shortQueue, -longQueue};
  }

  private static double[] gapFeatures(Load load) {
    return new double[] {1, load.inFlight(), Math.min(load.prefillTokens(), Queue.KNEE_TOKENS)};
  }

  private static List<Double> list(double[] values) {
    return Arrays.stream(values).boxed().toList();
  }

  private static double[] array(List<Double> values) {
    return values.stream().mapToDouble(v -> v).toArray();
  }
}

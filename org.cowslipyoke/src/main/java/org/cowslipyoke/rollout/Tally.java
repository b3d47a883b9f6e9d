package org.cowslipyoke.rollout;

import java.util.function.IntToLongFunction;

/**
 * Answers of one version on one route: their number, failures, and a histogram of relative times.
 * Mutable and not thread-safe.
 */
public final class Tally {

  /** Number of histogram buckets; each is {@link #BUCKETS_PER_DOUBLING} to a factor of two. */
  public static final int BUCKETS = 42;

  static final int BUCKETS_PER_DOUBLING = 3;

  /** Relative time below which a time is in the first bucket. */
  private static final double FIRST = 0.25;

  private long answers;
  private long failures;
  private final long[] times = new long[BUCKETS];

  /** Creates a tally without answers. */
  public Tally() {}

  /** Creates a tally; {@code times} may be shorter than the histogram. */
  public Tally(long answers, long failures, long[] times) {
    this.answers = answers;
    this.failures = failures;
    System.arraycopy(times, 0, this.times, 0, Math.min(BUCKETS, times.length));
  }

  /** Returns the bucket of a time relative to the expected one. */
  static int bucket(double relative) {
    if (!(relative > FIRST)) {
      return 0;
    }
    double doublings = Math.log(relative / FIRST) / Math.log(2);
    return Math.min(BUCKETS - 1, 1 + (int) (BUCKETS_PER_DOUBLING * doublings));
  }

  void addFailure() {
    answers++;
    failures++;
  }

  /** Adds an answer whose time is not comparable. */
  void addUntimed() {
    answers++;
  }

  void addTime(int bucket) {
    answers++;
    times[bucket]++;
  }

  /** Adds another tally {@code factor} times. */
  void add(Tally o, int factor) {
    answers += factor * o.answers;
    failures += factor * o.failures;
    for (int i = 0; i < BUCKETS; i++) {
      times[i] += factor * o.times[i];
    }
  }

  /** Returns the increase since an earlier state of the same tally. */
  Tally minus(Tally earlier) {
    Tally d = copy();
    d.add(earlier, -1);
    return d;
  }

  Tally copy() {
    return new Tally(answers, failures, times);
  }

  /** Returns whether no count is lower than in another tally. */
  boolean covers(Tally o) {
    boolean covers = answers >= o.answers && failures >= o.failures;
    for (int i = 0; i < BUCKETS; i++) {
      covers &= times[i] >= o.times[i];
    }
    return covers;
  }

  /** Returns the number of answers, failures included. */
  public long answers() {
    return answers;
  }

  /** Returns the number of failures. */
  public long failures() {
    return failures;
  }

  /** Returns the number of answers in a bucket. */
  public long time(int bucket) {
    return times[bucket];
  }

  /** Returns the number of timed answers. */
  long timed() {
    return above(-1);
  }

  /** Returns the number of timed answers above a bucket. */
  long above(int bucket) {
    long n = 0;
    for (int i = bucket + 1; i < BUCKETS; i++) {
      n += times[i];
    }
    return n;
  }

  /** Returns the lowest bucket above which lies at most a fraction of the timed answers. */
  int quantileBucket(double fractionAbove) {
    int b = BUCKETS - 1;
    while (b > 0 && above(b - 1) <= fractionAbove * timed()) {
      b--;
    }
    return b;
  }

  /** Sum of tallies, each weighted by the answers of another one. */
  static final class Weighted {

    /** Weighted counts, with the sum of the squared weights of all single answers. */
    private static final class Counts {
      final double[] sums;
      double all;
      double squares;

      Counts(int size) {
        sums = new double[size];
      }

      void add(IntToLongFunction count, long own, long other) {
        if (own <= 0 || other <= 0) {
          return;
        }
        double weight = (double) other / own;
        for (int i = 0; i < sums.length; i++) {
          sums[i] += weight * count.applyAsLong(i);
        }
        all += other;
        squares += weight * other;
      }

      Counts copy() {
        Counts c = new Counts(sums.length);
        System.arraycopy(sums, 0, c.sums, 0, sums.length);
        c.all = all;
        c.squares = squares;
        return c;
      }

      /** Returns the number of unweighted answers that would say as much. */
      double effective() {
        return squares > 0 ? all * all / squares : 0;
      }

      long scaled(int i) {
        return all > 0 ? Math.round(sums[i] / all * effective()) : 0;
      }
    }

    private Counts failed = new Counts(1);
    private Counts times = new Counts(BUCKETS);

    /** Adds a tally with as many answers, and as many timed ones, as another one has. */
    void add(Tally t, Tally weight) {
      failed.add(i -> t.failures, t.answers, weight.answers);
      times.add(i -> t.times[i], t.timed(), weight.timed());
    }

    Weighted copy() {
      Weighted w = new Weighted();
      w.failed = failed.copy();
      w.times = times.copy();
      return w;
    }

    /** Returns a tally with this sum's fractions, and as many answers as they are worth. */
    Tally rounded() {
      long[] scaled = new long[BUCKETS];
      for (int i = 0; i < BUCKETS; i++) {
        scaled[i] = times.scaled(i);
      }
      return new Tally(Math.round(failed.effective()), failed.scaled(0), scaled);
    }
  }
}

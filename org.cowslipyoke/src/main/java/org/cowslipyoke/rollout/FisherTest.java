package org.cowslipyoke.rollout;

/** One-sided exact test on two samples of events. */
final class FisherTest {

  private FisherTest() {}

  /**
   * Returns the probability that at least {@code hits} of the events fall into the first sample if
   * both samples have the same rate.
   */
  static double tail(long hits, long size, long otherHits, long otherSize) {
    long events = hits + otherHits;
    long last = Math.min(events, size);
    long all = size + otherSize;
    double p = 0;
    for (long k = hits; k <= last; k++) {
      if (events - k > otherSize) {
        continue;
      }
      double term =
          Math.exp(logChoose(size, k) + logChoose(otherSize, events - k) - logChoose(all, events));
      p += term;
      if (term < 1e-16 && k * all > events * size) {
        break;
      }
    }
    return Math.min(1, p);
  }

  private static double logChoose(long n, long k) {
    return logFactorial(n) - logFactorial(k) - logFactorial(n - k);
  }

  /** Returns the logarithm of n!, by Stirling's series for large n. */
  private static double logFactorial(long n) {
    if (n < 10) {
      double f = 1;
      for (int i = 2; i <= n; i++) {
        f *= i;
      }
      return Math.log(f);
    }
    double x = n + 1.0;
    return (x - 0.5) * Math.log(x)
        - x
        + 0.5 * Math.log(2 * Math.PI)
        + 1 / (12 * x)
        - 1 / (360 * x * x * x);
  }
}

package org.cowslipyoke.bench.slopes;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/** Ways to measure a piece of code in this process. */
final class Measure {

  private static final int WARM_UP_RUNS = 300;

  /** Keeps results reachable, so that the compiler does not remove the measured calls. */
  private static final AtomicReference<Object> RESULT = new AtomicReference<>(new Object());

  private Measure() {}

  /** Returns the mean processor time of one call in microseconds, after a warm-up. */
  static double micros(int runs, Supplier<?> code) {
    for (int i = 0; i < WARM_UP_RUNS; i++) {
      RESULT.lazySet(code.get());
    }
    long start = System.nanoTime();
    for (int i = 0; i < runs; i++) {
      RESULT.lazySet(code.get());
    }
    return (System.nanoTime() - start) / 1_000.0 / runs;
  }

  /** Returns the live heap in bytes that the result of the code holds. */
  static double heapBytes(Supplier<?> code) {
    RESULT.set(new Object());
    long before = usedAfterCollection();
    Object held = code.get();
    long after = usedAfterCollection();
    RESULT.lazySet(held);
    return after - before;
  }

  private static long usedAfterCollection() {
    Runtime r = Runtime.getRuntime();
    long used = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      used = Math.min(used, r.totalMemory() - r.freeMemory());
    }
    return used;
  }
}

package org.cowslipyoke.daemon.runtime;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.atomic.LongAdder;

/**
 * Measures the processor time of the runtime's own tasks, that is, the control overhead of the
 * process. The target is at most 1.9% of a core for each daemon.
 */
final class ControlCpuTime {

  private static final double NANOS_PER_SECOND = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final LongAdder nanos = new LongAdder();

  /** Returns a task that runs the given one and adds its processor time to the total. */
  Runnable measured(Runnable task) {
    return () -> {
      long start = threads.getCurrentThreadCpuTime();
      try {
        task.run();
      } finally {
        nanos.add(threads.getCurrentThreadCpuTime() - start);
      }
    };
  }

  double seconds() {
    return nanos.sum() / NANOS_PER_SECOND;
  }
}

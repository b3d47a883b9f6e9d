package org.cowslipyoke.daemon.runtime;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.atomic.LongAdder;

/** Processor time of the runtime's own tasks, the control overhead of section 1.8. */
final class ControlTime {

  private static final double NANOS = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final LongAdder nanos = new LongAdder();

  /** Returns the task with its processor time counted. */
  Runnable counted(Runnable task) {
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
    return nanos.sum() / NANOS;
  }
}

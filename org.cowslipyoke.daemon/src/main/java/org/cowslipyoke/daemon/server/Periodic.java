package org.cowslipyoke.daemon.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs blocking tasks again and again on the workers. The next round is scheduled after the end of
 * the last one, so a slow platform call never piles rounds up. Intervals have 20 % jitter.
 */
final class Periodic {

  private static final Logger LOG = LogManager.getLogger(Periodic.class);

  private final ScheduledExecutorService scheduler;
  private final ExecutorService workers;
  private final RandomGenerator random;
  private volatile boolean stopped;

  Periodic(ScheduledExecutorService scheduler, ExecutorService workers, RandomGenerator random) {
    this.scheduler = scheduler;
    this.workers = workers;
    this.random = random;
  }

  void every(long intervalMs, Runnable task) {
    schedule(intervalMs, 0, task);
  }

  void stop() {
    stopped = true;
  }

  private void schedule(long intervalMs, long delayMs, Runnable task) {
    if (stopped) {
      return;
    }
    long jitter = delayMs == 0 ? 0 : jitter(delayMs / 5 + 1);
    try {
      var unused =
          scheduler.schedule(
              () -> round(intervalMs, task), delayMs + jitter, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.debug("the scheduler is shut down", e);
    }
  }

  private void round(long intervalMs, Runnable task) {
    try {
      workers.execute(
          () -> {
            try {
              task.run();
            } catch (RuntimeException e) {
              LOG.error("periodic task failed", e);
            } finally {
              schedule(intervalMs, intervalMs, task);
            }
          });
    } catch (RejectedExecutionException e) {
      LOG.warn("no worker is free for a periodic task");
      schedule(intervalMs, intervalMs, task);
    }
  }

  private synchronized long jitter(long bound) {
    return random.nextLong(bound);
  }
}

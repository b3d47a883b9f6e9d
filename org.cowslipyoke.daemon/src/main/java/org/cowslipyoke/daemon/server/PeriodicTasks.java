package org.cowslipyoke.daemon.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs blocking tasks periodically on the workers. The next round is scheduled after the previous
 * one has ended, so rounds do not pile up behind a slow platform call. Up to 20 % jitter is added
 * to the intervals.
 */
final class PeriodicTasks {

  private static final Logger LOG = LogManager.getLogger(PeriodicTasks.class);

  private final ScheduledExecutorService scheduler;
  private final ExecutorService workers;
  private final RandomGenerator random;
  private volatile boolean stopped;

  PeriodicTasks(
      ScheduledExecutorService scheduler, ExecutorService workers, RandomGenerator random) {
    this.scheduler = scheduler;
    this.workers = workers;
    this.random = random;
  }

  void schedule(long intervalMs, Runnable task) {
    scheduleRound(intervalMs, 0, task);
  }

  void stop() {
    stopped = true;
  }

  private void scheduleRound(long intervalMs, long delayMs, Runnable task) {
    if (stopped) {
      return;
    }
    long jitter = delayMs == 0 ? 0 : jitter(delayMs / 5 + 1);
    try {
      var unused =
          scheduler.schedule(
              () -> submit(intervalMs, task), delayMs + jitter, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.debug("the scheduler is shut down", e);
    }
  }

  private void submit(long intervalMs, Runnable task) {
    try {
      workers.execute(
          () -> {
            try {
              task.run();
            } catch (RuntimeException e) {
              LOG.error("periodic task failed", e);
            } finally {
              scheduleRound(intervalMs, intervalMs, task);
            }
          });
    } catch (RejectedExecutionException e) {
      LOG.warn("workers rejected a periodic task; trying again after its interval");
      scheduleRound(intervalMs, intervalMs, task);
    }
  }

  private synchronized long jitter(long bound) {
    return random.nextLong(bound);
  }
}

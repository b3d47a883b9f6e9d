package org.cowslipyoke.daemon.server;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Bounded threads of the server role. They are apart from the workers, so that long runs and slow
 * store VMs cannot hold up the answers to probes.
 *
 * @param runs executes runs or calls; rejects what exceeds its threads
 * @param transfers moves blocks
 * @param exports writes blocks to store VMs after a run
 * @param lookups asks store VMs for probes; rejects what exceeds its threads
 */
record ServerPools(
    ExecutorService runs,
    ExecutorService transfers,
    ExecutorService exports,
    ExecutorService lookups) {

  /**
   * Blocks that are exported at the same time. One at a time took longer than the engine's memory
   * kept the blocks: at midday a third of the returning tokens was computed again.
   */
  static final int EXPORT_THREADS = 4;

  /** More than the batch of an engine. */
  private static final int RUN_THREADS = 256;

  /** Fewer use up the budget of a link already. */
  private static final int TRANSFER_THREADS = 8;

  private static final int LOOKUP_THREADS = 32;

  /** Blocks that wait for a transfer; more are recomputed. */
  private static final int WAITING_TRANSFERS = 4_096;

  static ServerPools create() {
    return new ServerPools(
        pool("run", 0, RUN_THREADS, new SynchronousQueue<>()),
        pool(
            "transfer",
            TRANSFER_THREADS,
            TRANSFER_THREADS,
            new ArrayBlockingQueue<>(WAITING_TRANSFERS)),
        pool("export", 0, EXPORT_THREADS, new SynchronousQueue<>()),
        pool("lookup", 0, LOOKUP_THREADS, new SynchronousQueue<>()));
  }

  void stop() {
    runs.shutdown();
    transfers.shutdownNow();
    exports.shutdownNow();
    lookups.shutdownNow();
  }

  private static ExecutorService pool(
      String name, int core, int max, BlockingQueue<Runnable> queue) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(core, max, 30, TimeUnit.SECONDS, queue, r -> thread(name, r));
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }

  private static Thread thread(String name, Runnable task) {
    Thread t = new Thread(task, name);
    t.setDaemon(true);
    return t;
  }
}

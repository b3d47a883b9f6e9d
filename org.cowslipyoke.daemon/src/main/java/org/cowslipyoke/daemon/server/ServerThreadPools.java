package org.cowslipyoke.daemon.server;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Bounded thread pools of the server role. They are separate from the workers, so that long runs
 * and slow store VMs do not delay the handling of probes.
 *
 * @param runs executes runs or service calls; rejects tasks while all threads are busy
 * @param transfers imports blocks from store VMs
 * @param exports writes blocks to store VMs after a run
 * @param lookups looks blocks up at store VMs for probes; rejects tasks while all threads are busy
 */
record ServerThreadPools(
    ExecutorService runs,
    ExecutorService transfers,
    ExecutorService exports,
    ExecutorService lookups) {

  /**
   * Blocks that are exported concurrently. With a single thread, engines evicted blocks before they
   * were exported, and at midday a third of the reusable tokens was recomputed.
   */
  static final int EXPORT_THREADS = 4;

  /** Larger than the batch of an engine. */
  private static final int RUN_THREADS = 256;

  /** More than are needed to use the whole budget of a link. */
  private static final int TRANSFER_THREADS = 8;

  private static final int LOOKUP_THREADS = 32;

  /** Maximum number of queued transfers; blocks beyond it are recomputed. */
  private static final int MAX_QUEUED_TRANSFERS = 4_096;

  static ServerThreadPools create() {
    return new ServerThreadPools(
        pool("run", 0, RUN_THREADS, new SynchronousQueue<>()),
        pool(
            "transfer",
            TRANSFER_THREADS,
            TRANSFER_THREADS,
            new ArrayBlockingQueue<>(MAX_QUEUED_TRANSFERS)),
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

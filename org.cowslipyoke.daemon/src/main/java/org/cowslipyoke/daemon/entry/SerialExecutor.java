package org.cowslipyoke.daemon.entry;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time and in order, on the thread that submits them. A task submitted while
 * another one runs is run by that thread.
 */
final class SerialExecutor {

  private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();

  void execute(Runnable task) {
    queue.add(task);
    if (pending.getAndIncrement() != 0) {
      return;
    }
    do {
      Runnable next = queue.poll();
      if (next != null) {
        next.run();
      }
    } while (pending.decrementAndGet() != 0);
  }
}

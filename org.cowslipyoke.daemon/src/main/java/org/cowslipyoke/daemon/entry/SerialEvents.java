package org.cowslipyoke.daemon.entry;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs the events of one request one at a time and in order, on the thread that posts them. An
 * event posted while another one runs is taken over by that one's thread.
 */
final class SerialEvents {

  private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();

  void post(Runnable event) {
    queue.add(event);
    if (waiting.getAndIncrement() != 0) {
      return;
    }
    do {
      Runnable next = queue.poll();
      if (next != null) {
        next.run();
      }
    } while (waiting.decrementAndGet() != 0);
  }
}

package org.cowslipyoke.matrix;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.cowslipyoke.fake.ManualClock;

/** Runs scheduled steps in order of their time on a manual clock. */
final class Timeline {

  private record Event(long atMs, long sequence, Runnable step) {}

  private final ManualClock clock;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::sequence));
  private long sequence;

  Timeline(ManualClock clock) {
    this.clock = clock;
  }

  void after(long ms, Runnable step) {
    events.add(new Event(clock.nowMs() + ms, sequence++, step));
  }

  /** Runs steps for a time or until a condition holds. */
  void run(long forMs, BooleanSupplier until) {
    long endMs = clock.nowMs() + forMs;
    while (!until.getAsBoolean()) {
      Event e = events.peek();
      if (e == null || e.atMs() > endMs) {
        return;
      }
      events.remove();
      clock.advance(Math.max(0, e.atMs() - clock.nowMs()));
      e.step().run();
    }
  }
}

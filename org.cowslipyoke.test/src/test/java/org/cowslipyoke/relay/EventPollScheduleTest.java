package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventPollScheduleTest {

  @Test
  void fewEntriesUseLongWaits() {
    EventPollSchedule p = EventPollSchedule.of(5, 12);
    assertEquals(
        new EventPollSchedule(EventPollSchedule.LONG_WAIT_MS, EventPollSchedule.MIN_PAUSE_MS), p);
    assertEquals(p, EventPollSchedule.of(400, 0));
  }

  /**
   * Guards against more concurrent calls than an engine accepts: it refuses the others, and the
   * platform charges for them.
   */
  @Test
  void concurrentCallsStayWithinTheLimitOfTheNode() {
    for (int max : new int[] {4, 12, 64}) {
      for (int entries = 1; entries <= 400; entries++) {
        EventPollSchedule p = EventPollSchedule.of(entries, max);
        double atOnce = entries * (double) p.waitMs() / (p.waitMs() + p.pauseMs());
        assertTrue(atOnce <= 0.72 * max, entries + " entries, " + max + ": " + atOnce);
      }
    }
  }

  /**
   * The view of a store is used for 1,200 ms; in the largest deployment two calls fit into this
   * time.
   */
  @Test
  void largestDeploymentPollsTwiceWhileViewIsFresh() {
    EventPollSchedule p = EventPollSchedule.of(24, 12);
    assertTrue(2 * (p.waitMs() + p.pauseMs()) <= CacheDirectory.MAX_AGE_MS, p.toString());
  }
}

package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventPollScheduleTest {

  @Test
  void fewEntriesUseLongWaits() {
    ReaderPace p = ReaderPace.of(5, 12);
    assertEquals(new ReaderPace(ReaderPace.LONG_WAIT_MS, ReaderPace.MIN_PAUSE_MS), p);
    assertEquals(p, ReaderPace.of(400, 0));
  }

  /**
   * Guards against more concurrent calls than an engine accepts: it refuses the others, and the
   * platform charges for them.
   */
  @Test
  void concurrentCallsStayWithinTheLimitOfTheNode() {
    for (int max : new int[] {4, 12, 64}) {
      for (int entries = 1; entries <= 400; entries++) {
        ReaderPace p = ReaderPace.of(entries, max);
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
    ReaderPace p = ReaderPace.of(24, 12);
    assertTrue(2 * (p.waitMs() + p.pauseMs()) <= CacheDirectory.MAX_AGE_MS, p.toString());
  }
}

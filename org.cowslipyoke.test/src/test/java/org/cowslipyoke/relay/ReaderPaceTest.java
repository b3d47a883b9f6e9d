package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReaderPaceTest {

  @Test
  void fewEntriesWaitLong() {
    EventPollSchedule p = EventPollSchedule.of(5, 12);
    assertEquals(
        new EventPollSchedule(EventPollSchedule.LONG_WAIT_MS, EventPollSchedule.MIN_PAUSE_MS), p);
    assertEquals(p, EventPollSchedule.of(400, 0));
  }

  /** Guards against calls beyond what an engine bears: it refuses them, and they are priced. */
  @Test
  void callsAtOnceStayBelowWhatThePlaceBears() {
    for (int max : new int[] {4, 12, 64}) {
      for (int entries = 1; entries <= 400; entries++) {
        EventPollSchedule p = EventPollSchedule.of(entries, max);
        double atOnce = entries * (double) p.waitMs() / (p.waitMs() + p.pauseMs());
        assertTrue(atOnce <= 0.72 * max, entries + " entries, " + max + ": " + atOnce);
      }
    }
  }

  /** The knowledge of a store is used for 1,200 ms; two calls at today's largest size fit. */
  @Test
  void largestDeploymentOfTodayReadsTwiceWhileKnowledgeIsUsed() {
    EventPollSchedule p = EventPollSchedule.of(24, 12);
    assertTrue(2 * (p.waitMs() + p.pauseMs()) <= CacheDirectory.MAX_AGE_MS, p.toString());
  }
}

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

  /**
   * Guards against polls by entries that hear the first reader, and against a view that expires
   * before the last reader polls; 400 entries in 26 groups before engines that accept 12 calls.
   */
  @Test
  void otherReadersPollOnlyAfterTheFirstOneIsSilent() {
    for (int[] d : new int[][] {{1, 5}, {1, 33}, {1, 60}, {26, 15}}) {
      EventPollSchedule p = EventPollSchedule.shared(d[0], d[1], 12);
      long betweenResponses = 2L * p.waitMs() + p.pauseMs();
      assertEquals(0, p.maxSharedAgeMs(0, d[1]));
      for (int rank = 1; rank < d[1]; rank++) {
        long age = p.maxSharedAgeMs(rank, d[1]);
        assertTrue(age > betweenResponses, d[1] + " entries, rank " + rank + ": " + age);
        assertTrue(age < CacheDirectory.MAX_AGE_MS, d[1] + " entries, rank " + rank + ": " + age);
      }
      double atOnce = d[0] * (double) p.waitMs() / (p.waitMs() + p.pauseMs());
      assertTrue(atOnce <= 0.72 * 12, d[0] + " groups: " + atOnce);
    }
  }

  @Test
  void singleEntryPollsAsBefore() {
    assertEquals(EventPollSchedule.of(1, 12), EventPollSchedule.shared(1, 1, 12));
  }
}

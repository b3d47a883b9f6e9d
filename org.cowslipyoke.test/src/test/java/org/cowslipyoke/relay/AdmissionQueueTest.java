package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.AdmissionQueue.Attempt;
import org.cowslipyoke.relay.AdmissionQueue.Position;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {

  private final ManualClock clock = new ManualClock();
  private final AdmissionQueue<String> queue = new AdmissionQueue<>(clock, 4, 1_000);

  private Position position(int rank, String organisation, long objectiveMs, long deadlineMs) {
    long now = clock.nowMs();
    return new Position("s", rank, organisation, now + objectiveMs, now + deadlineMs, 100, false);
  }

  private List<String> tried(Attempt result) {
    List<String> order = new ArrayList<>();
    queue.startAll(
        x -> {
          order.add(x);
          return result;
        });
    return order;
  }

  /** Guards against late prompts that keep prompts which can be in time waiting. */
  @Test
  void orderIsByRankThenInTimeThenDeadline() {
    queue.offer("late", position(1, "a", 100, 1_000));
    queue.offer("second", position(1, "b", 900, 3_000));
    queue.offer("first", position(1, "c", 900, 2_000));
    queue.offer("urgent", position(0, "d", 900, 9_000));
    clock.advance(200);
    assertTrue(queue.hasAhead(position(1, "e", 900, 5_000)));
    assertFalse(queue.hasAhead(position(0, "e", 100, 100)));
    assertEquals(List.of("urgent"), tried(Attempt.NO_ROOM));
    assertEquals(List.of("urgent", "first", "second", "late"), tried(Attempt.ORGANISATION_WAITS));
    assertEquals(4, tried(Attempt.SETTLED).size());
    assertEquals(0, queue.size());
  }

  /** Guards against short prompts that wait until a long one, of a more urgent rank, finds room. */
  @Test
  void smallRequestsOvertakeLargeOnesWithoutRoom() {
    Position small = new Position("s", 2, "b", 500, 1_000, 100, true);
    queue.offer("large", position(1, "a", 900, 2_000));
    queue.offer("small", small);
    queue.offer("large2", position(3, "c", 900, 2_000));
    assertEquals(List.of("large", "small"), tried(Attempt.NO_ROOM));
    assertTrue(queue.hasAhead(small));
    assertTrue(queue.remove("small"));
    assertFalse(queue.hasAhead(small));
  }

  /** Guards against a queue that grows without bounds, and one that a single caller fills. */
  @Test
  void queueIsBounded() {
    queue.offer("a1", position(1, "a", 900, 2_000));
    queue.offer("a2", position(1, "a", 900, 2_000));
    assertEquals(Optional.of("a3"), queue.offer("a3", position(1, "a", 900, 2_000)));
    queue.offer("b", position(2, "b", 900, 2_000));
    queue.offer("c", position(1, "c", 900, 2_000));
    assertEquals(Optional.of("b"), queue.offer("d", position(0, "d", 900, 2_000)));
    Position large = new Position("s", 0, "e", 0, 0, 700, false);
    assertTrue(queue.offer("e", large).isPresent());
    assertTrue(queue.remove("d"));
    assertFalse(queue.remove("d"));
  }
}

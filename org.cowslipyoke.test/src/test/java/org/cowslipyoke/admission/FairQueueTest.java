package org.cowslipyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against one organisation or priority class starving the others, and against a queue
 * without bound.
 */
class FairQueueTest {

  private final FairQueue<String> queue = new FairQueue<>(400);

  @Test
  void servesCostByWeight() {
    fill(PriorityClass.INTERACTIVE, "large", 3, 4, 150);
    fill(PriorityClass.INTERACTIVE, "small", 1, 4, 50);
    long small = poll(80).stream().filter("small"::equals).count();
    assertEquals(20.0, (double) small, 2.0, "weight 1 of 4");
  }

  @Test
  void longPromptsGetNoMoreThanTheirShare() {
    fill(PriorityClass.INTERACTIVE, "long", 1, 40, 100);
    fill(PriorityClass.INTERACTIVE, "short", 1, 4, 100);
    long served = poll(55).stream().filter("long"::equals).count();
    assertEquals(5.0, (double) served, 1.0, "ten short ones for each long one");
  }

  @Test
  void overnightGetsOneTurnInTenUnderLoad() {
    fill(PriorityClass.INTERACTIVE, "day", 1, 1, 150);
    fill(PriorityClass.OVERNIGHT, "night", 100, 1, 100);
    List<String> turns = poll(100);
    assertEquals(10, turns.stream().filter("night"::equals).count());
  }

  @Test
  void overnightGetsTurnsThatInteractiveDoesNotUse() {
    fill(PriorityClass.OVERNIGHT, "night", 1, 1, 3);
    assertEquals(List.of("night", "night", "night"), poll(3));
  }

  @Test
  void oneOrganisationCannotFillTheQueue() {
    FairQueue<String> small = new FairQueue<>(4);
    assertTrue(small.offer(PriorityClass.INTERACTIVE, "large", 1, 1, "1"));
    assertTrue(small.offer(PriorityClass.OVERNIGHT, "large", 1, 1, "2"));
    assertFalse(small.offer(PriorityClass.INTERACTIVE, "large", 1, 1, "3"));
    assertTrue(small.offer(PriorityClass.INTERACTIVE, "a", 1, 1, "4"));
    assertTrue(small.offer(PriorityClass.INTERACTIVE, "b", 1, 1, "5"));
    assertFalse(small.offer(PriorityClass.INTERACTIVE, "c", 1, 1, "6"));
    assertEquals(4, small.size());
  }

  @Test
  void removedEntriesAreNotServed() {
    fill(PriorityClass.INTERACTIVE, "a", 1, 1, 2);
    fill(PriorityClass.OVERNIGHT, "b", 1, 1, 2);
    assertEquals(List.of("a", "a"), queue.removeIf("a"::equals));
    assertEquals(List.of("b", "b"), poll(2));
    assertTrue(queue.poll().isEmpty());
    assertEquals(0, queue.size());
  }

  private void fill(PriorityClass priority, String organisation, int weight, int cost, int count) {
    for (int i = 0; i < count; i++) {
      assertTrue(queue.offer(priority, organisation, weight, cost, organisation));
    }
  }

  private List<String> poll(int count) {
    List<String> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(queue.poll().orElseThrow());
    }
    return out;
  }
}

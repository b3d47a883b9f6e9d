package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.CallerMemory.Holding;
import org.cowslipyoke.relay.CallerMemory.Reason;
import org.junit.jupiter.api.Test;

/** Tests which callers' requests get memory and which ones give way. */
class CallerMemoryTest {

  private static final long MB = 1 << 20;

  private final ManualClock clock = new ManualClock();
  private final List<Reason> evicted = new ArrayList<>();
  private final CallerMemory memory = new CallerMemory(clock, 16 * MB, evicted::add);

  private Holding receiving(long bytes, List<Holding> gone) {
    Holding h = memory.open();
    h.watch(r -> gone.add(h));
    assertTrue(h.tryAcquire(bytes));
    return h;
  }

  /** Guards against large bodies that leave no memory for ordinary requests. */
  @Test
  void largeHoldingsLeaveReserveForSmallOnes() {
    receiving(4 * MB, new ArrayList<>());
    receiving(4 * MB, new ArrayList<>());
    receiving(4 * MB, new ArrayList<>());
    assertFalse(memory.open().tryAcquire(4 * MB));
    assertTrue(memory.open().tryAcquire(CallerMemory.SMALL_BYTES));
    assertEquals(12 * MB + CallerMemory.SMALL_BYTES, memory.used());
  }

  /** Guards against callers that stop just short of the end of their bodies and keep the memory. */
  @Test
  void largestStalledHoldingIsEvicted() {
    List<Holding> gone = new ArrayList<>();
    receiving(3 * MB, gone);
    final Holding largest = receiving(5 * MB, gone);
    receiving(4 * MB, gone);
    clock.advance(1_100);
    assertTrue(memory.open().tryAcquire(4 * MB));
    assertEquals(List.of(largest), gone);
    assertEquals(List.of(Reason.MEMORY), evicted);
    assertEquals(11 * MB, memory.used());
  }

  /** Guards against concurrent uploads that evict each other, so that none is completed. */
  @Test
  void holdingThatMakesProgressIsNotEvicted() {
    List<Holding> gone = new ArrayList<>();
    List<Holding> all = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      all.add(receiving(4 * MB, gone));
    }
    for (int i = 0; i < 30; i++) {
      clock.advance(100);
      all.forEach(h -> h.transferred(8 << 10));
    }
    assertFalse(memory.open().tryAcquire(4 * MB));
    assertEquals(List.of(), gone);
  }

  /** Guards against requests that are evicted while a server works on them. */
  @Test
  void holdingOfRunningRequestIsNotEvicted() {
    List<Holding> gone = new ArrayList<>();
    receiving(12 * MB, gone).unwatch();
    clock.advance(60_000);
    assertFalse(memory.open().tryAcquire(4 * MB));
    assertFalse(memory.evictStalled());
    memory.evictSlow(15_000);
    assertEquals(List.of(), gone);
  }

  /** Guards against callers that send a byte now and then. */
  @Test
  void trickleIsEvictedBelowTheLeastPace() {
    List<Holding> gone = new ArrayList<>();
    Holding h = receiving(100, gone);
    for (int i = 0; i < 60; i++) {
      memory.evictSlow(15_000);
      assertEquals(List.of(), gone);
      clock.advance(250);
      h.transferred(1);
    }
    clock.advance(250);
    memory.evictSlow(15_000);
    assertEquals(List.of(h), gone);
    assertEquals(0, memory.used());
  }

  /** Guards against closing connections of callers that send without pause. */
  @Test
  void connectionOfLongestPauseIsFreed() {
    List<Holding> gone = new ArrayList<>();
    final Holding paused = receiving(10, gone);
    Holding sending = receiving(1_000, gone);
    assertFalse(memory.evictStalled());
    clock.advance(200);
    sending.transferred(32 << 10);
    assertTrue(memory.evictStalled());
    assertEquals(List.of(paused), gone);
    assertFalse(memory.evictStalled());
  }

  /** Guards against incomplete requests that keep new callers out before they count as stalled. */
  @Test
  void slowestIncompleteRequestIsEvictedForItsConnection() {
    List<Holding> gone = new ArrayList<>();
    receiving(1_000, gone);
    Holding slow = memory.open();
    slow.watchRequest(r -> gone.add(slow));
    final Holding fast = memory.open();
    fast.watchRequest(r -> gone.add(fast));
    clock.advance(50);
    fast.transferred(4 << 10);
    assertFalse(memory.evictStalled());
    assertTrue(memory.evictSlowestRequest());
    assertTrue(memory.evictSlowestRequest());
    assertFalse(memory.evictSlowestRequest(), "a caller that reads its response keeps it");
    assertEquals(List.of(slow, fast), gone);
  }

  /** Guards against a reserve that is used up by many requests that grow at the same time. */
  @Test
  void smallRequestEvictsMuchLargerOnesInTheReserve() {
    List<Holding> gone = new ArrayList<>();
    final Holding large = receiving(4 * MB, gone);
    for (int i = 0; i < 12 * MB / CallerMemory.SMALL_BYTES; i++) {
      Holding h = memory.open();
      h.watchRequest(r -> gone.add(h));
      assertTrue(h.tryAcquire(CallerMemory.SMALL_BYTES));
    }
    assertFalse(memory.open().tryAcquire(CallerMemory.SMALL_BYTES / 2));
    assertEquals(List.of(), gone);
    assertTrue(memory.open().tryAcquire(CallerMemory.SMALL_BYTES / 4));
    assertEquals(1, gone.size());
    assertFalse(gone.contains(large));
  }

  /** Guards against bytes that are released twice or never, in random sequences. */
  @Test
  void usedBytesStayWithinTheBudget() {
    long seed = System.nanoTime();
    System.out.println("CallerMemoryTest seed " + seed);
    Random random = new Random(seed);
    List<Holding> all = new ArrayList<>();
    for (int i = 0; i < 20_000; i++) {
      if (all.isEmpty() || random.nextInt(4) == 0) {
        Holding h = memory.open();
        h.watch(r -> {});
        all.add(h);
      }
      Holding h = all.get(random.nextInt(all.size()));
      switch (random.nextInt(5)) {
        case 0 -> h.release(random.nextInt((int) MB));
        case 1 -> {
          h.close();
          all.remove(h);
        }
        case 2 -> clock.advance(random.nextInt(300));
        default -> h.tryAcquire(random.nextInt(2 * (int) MB));
      }
      assertTrue(memory.used() >= 0 && memory.used() <= memory.size(), "seed " + seed);
    }
    all.forEach(Holding::close);
    assertEquals(0, memory.used(), "seed " + seed);
  }
}

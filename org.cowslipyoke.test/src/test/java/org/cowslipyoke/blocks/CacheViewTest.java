package org.cowslipyoke.blocks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cowslipyoke.platform.ModelEngine.CacheChange;
import org.cowslipyoke.platform.ModelEngine.CacheEvent;
import org.cowslipyoke.platform.ModelEngine.CacheEvents;
import org.junit.jupiter.api.Test;

/** Guards against offers that rest on cache events that were lost. */
class CacheViewTest {

  private static final BlockKey K1 = new BlockKey("1".repeat(32));
  private static final BlockKey K2 = new BlockKey("2".repeat(32));
  private static final BlockKey K3 = new BlockKey("3".repeat(32));

  private final CacheView view = new CacheView();

  @Test
  void knowsNothingBeforeTheWholeSetWasRead() {
    assertFalse(apply(1, added(1, K1)));
    assertEquals(0, view.prefixLength(List.of(K1)));
    view.reset(List.of(K1, K2));
    assertEquals(2, view.prefixLength(List.of(K1, K2, K3)));
  }

  @Test
  void countsThePrefixOnly() {
    view.reset(List.of(K1, K3));
    assertEquals(1, view.prefixLength(List.of(K1, K2, K3)));
  }

  @Test
  void eventsInAnyOrderWithinOneReadApply() {
    view.reset(List.of());
    assertTrue(apply(1, evicted(2, K1), added(3, K2), added(1, K1)));
    assertEquals(0, view.prefixLength(List.of(K1)));
    assertEquals(1, view.prefixLength(List.of(K2)));
  }

  @Test
  void gapDiscardsTheView() {
    view.reset(List.of(K1));
    assertFalse(apply(1, added(1, K2), added(3, K3)));
    assertEquals(0, view.prefixLength(List.of(K1)));
    view.reset(List.of(K1));
    assertTrue(apply(1, added(2, K2), added(4, K2)), "the late event is behind the new set");
    assertEquals(4, view.sequence());
  }

  @Test
  void droppedHistoryDiscardsTheView() {
    view.reset(List.of(K1));
    assertFalse(apply(10));
    assertEquals(9, view.sequence());
  }

  @Test
  void restartOfTheEngineDiscardsTheView() {
    view.reset(List.of(K1));
    apply(1, added(1, K2));
    view.restart();
    assertEquals(0, view.prefixLength(List.of(K1)));
    assertEquals(0, view.sequence());
  }

  private boolean apply(long firstAvailable, CacheEvent... events) {
    return view.apply(new CacheEvents(firstAvailable, List.of(events)));
  }

  private static CacheEvent added(long sequence, BlockKey key) {
    return new CacheEvent(sequence, CacheChange.ADDED, key);
  }

  private static CacheEvent evicted(long sequence, BlockKey key) {
    return new CacheEvent(sequence, CacheChange.EVICTED, key);
  }
}

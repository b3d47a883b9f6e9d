package org.cowslipyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against an allowance that is too high for the runs completed since the server last turned
 * cold (I4).
 */
class ColdStartLimitTest {

  private final ColdStartLimit limit = new ColdStartLimit(1);

  @Test
  void doublesWithCompletedRunsUpToBatch() {
    limit.setMaxBatch(6);
    complete(1);
    assertEquals(2, limit.allowance());
    complete(1);
    assertEquals(2, limit.allowance(), "one of two runs is not enough");
    complete(1);
    assertEquals(4, limit.allowance());
    complete(100);
    assertEquals(6, limit.allowance());
  }

  @Test
  void resetsWhenIncarnationChanges() {
    warm();
    assertFalse(limit.onIncarnation("a"));
    assertTrue(limit.onIncarnation("b"));
    assertEquals(1, limit.allowance());
  }

  @Test
  void ignoresLaggingReportOfEarlierIncarnation() {
    limit.onIncarnation("a");
    limit.onIncarnation("b");
    warm();
    assertFalse(limit.onReport("a", true));
    assertEquals(8, limit.allowance());
  }

  @Test
  void resetsOnceWhenEngineReportsCold() {
    warm();
    limit.onReport("a", false);
    assertTrue(limit.onReport("a", true));
    assertEquals(1, limit.allowance());
    complete(1);
    assertFalse(limit.onReport("a", true), "the engine says cold until it is warm");
    assertEquals(2, limit.allowance());
  }

  @Test
  void resetsAfterConsecutiveSlowFirstTokens() {
    warm();
    limit.onFirstToken(limit.period(), 401, 100);
    limit.onFirstToken(limit.period(), 401, 100);
    limit.onFirstToken(limit.period(), 400, 100);
    limit.onFirstToken(limit.period(), 401, 100);
    limit.onFirstToken(limit.period(), 401, 100);
    assertEquals(8, limit.allowance(), "a first token in time resets the count");
    assertTrue(limit.onFirstToken(limit.period(), 401, 100));
    assertEquals(1, limit.allowance());
  }

  @Test
  void runsOfEarlierPeriodAreNotCounted() {
    warm();
    long before = limit.period();
    limit.resetToCold();
    limit.onCompleted(before);
    assertEquals(1, limit.allowance());
  }

  private void warm() {
    limit.setMaxBatch(8);
    complete(100);
    assertEquals(8, limit.allowance());
  }

  private void complete(int runs) {
    for (int i = 0; i < runs; i++) {
      limit.onCompleted(limit.period());
    }
  }
}

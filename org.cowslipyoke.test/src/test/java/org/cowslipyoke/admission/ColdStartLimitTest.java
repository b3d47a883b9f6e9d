package org.cowslipyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** I4: guards against an allowance that the server has not earned since it last turned cold. */
class ColdStartLimitTest {

  private final ColdStartLimit limit = new ColdStartLimit(1);

  @Test
  void doublesWithCompletedRunsUpToBatch() {
    limit.batch(6);
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
  void fallsWhenIncarnationChanges() {
    warm();
    assertFalse(limit.incarnation("a"));
    assertTrue(limit.incarnation("b"));
    assertEquals(1, limit.allowance());
  }

  @Test
  void ignoresLaggingReportOfEarlierIncarnation() {
    limit.incarnation("a");
    limit.incarnation("b");
    warm();
    assertFalse(limit.report("a", true));
    assertEquals(8, limit.allowance());
  }

  @Test
  void fallsOnceWhenEngineReportsCold() {
    warm();
    limit.report("a", false);
    assertTrue(limit.report("a", true));
    assertEquals(1, limit.allowance());
    complete(1);
    assertFalse(limit.report("a", true), "the engine says cold until it is warm");
    assertEquals(2, limit.allowance());
  }

  @Test
  void fallsAfterSuccessiveSlowFirstTokens() {
    warm();
    limit.firstToken(limit.period(), 401, 100);
    limit.firstToken(limit.period(), 401, 100);
    limit.firstToken(limit.period(), 400, 100);
    limit.firstToken(limit.period(), 401, 100);
    limit.firstToken(limit.period(), 401, 100);
    assertEquals(8, limit.allowance(), "a first token in time ends the row");
    assertTrue(limit.firstToken(limit.period(), 401, 100));
    assertEquals(1, limit.allowance());
  }

  @Test
  void runsFromBeforeTheFallEarnNothing() {
    warm();
    long before = limit.period();
    limit.turnCold();
    limit.completed(before);
    assertEquals(1, limit.allowance());
  }

  private void warm() {
    limit.batch(8);
    complete(100);
    assertEquals(8, limit.allowance());
  }

  private void complete(int runs) {
    for (int i = 0; i < runs; i++) {
      limit.completed(limit.period());
    }
  }
}

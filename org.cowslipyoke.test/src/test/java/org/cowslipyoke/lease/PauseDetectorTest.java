package org.cowslipyoke.lease;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against acting on old state right after a freeze, before any timer had a chance to run.
 */
class PauseDetectorTest {

  private final ManualClock clock = new ManualClock();
  private final PauseDetector pauses = new PauseDetector(clock);

  @Test
  void noticesPauseOnFirstStep() {
    clock.advance(PauseDetector.MAX_GAP_MS + 1);
    assertFalse(pauses.isCurrent());
    assertFalse(pauses.isCurrent(), "must stay paused until the state was read again");
  }

  @Test
  void recoversAfterCatchUp() {
    clock.advance(PauseDetector.MAX_GAP_MS + 1);
    pauses.confirmRecovered(pauses.pauseCount());
    assertTrue(pauses.isCurrent());
  }

  @Test
  void pauseDuringCatchUpNeedsAnother() {
    clock.advance(PauseDetector.MAX_GAP_MS + 1);
    long first = pauses.pauseCount();
    clock.advance(PauseDetector.MAX_GAP_MS + 1);
    pauses.confirmRecovered(first);
    assertFalse(pauses.isCurrent());
  }
}

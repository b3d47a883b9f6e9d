package org.cowslipyoke.fake;

import java.util.concurrent.atomic.AtomicLong;
import org.cowslipyoke.util.Clock;

/** Clock that moves only when a test says so. */
public final class ManualClock implements Clock {

  private static final long WALL_AT_ZERO = 1_700_000_000_000L;

  private final AtomicLong now = new AtomicLong(1_000_000);
  private final AtomicLong wallAhead = new AtomicLong();

  @Override
  public long nowMs() {
    return now.get();
  }

  @Override
  public long wallMs() {
    return WALL_AT_ZERO + now.get() + wallAhead.get();
  }

  /** Moves the wall clock alone, as a suspension or a correction of the time of day does. */
  public void adjustWallClock(long ms) {
    wallAhead.addAndGet(ms);
  }

  /** Moves both clocks forward. */
  public void advance(long ms) {
    now.addAndGet(ms);
  }
}

package org.cowslipyoke.lease;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipyoke.util.Clock;

/**
 * Detects that the own process did not run for a while, for example because its VM was frozen.
 *
 * <p>A paused process may hold expired leases and an old configuration. It admits nothing and gives
 * no order until {@link #confirmRecovered} confirms that its state was read again. Both clocks are
 * compared because the monotonic clock of some machines stands still while a VM is suspended.
 */
public final class PauseDetector {

  /** Interval of {@link #tick} in milliseconds. */
  public static final long TICK_MS = 250;

  /** Gap between two steps above which the process counts as paused, in milliseconds. */
  public static final long MAX_GAP_MS = 2_000;

  /**
   * State between two steps.
   *
   * @param pauseCount number of pauses so far
   * @param recovered number of the last pause after which the state was read again
   */
  private record State(long nowMs, long wallMs, long pauses, long recovered) {}

  private final Clock clock;
  private final AtomicReference<State> state;

  /** Creates a detector that starts in the state "not paused". */
  public PauseDetector(Clock clock) {
    this.clock = clock;
    this.state = new AtomicReference<>(new State(clock.nowMs(), clock.wallMs(), 0, 0));
  }

  /** Records that the process runs; called every {@link #TICK_MS}. */
  public void tick() {
    step();
  }

  /** Returns whether the process may act on its state. Every admission and order asks this. */
  public boolean isCurrent() {
    State s = step();
    return s.recovered() == s.pauses();
  }

  /** Returns the number of pauses so far; to be passed to {@link #confirmRecovered}. */
  public long pauseCount() {
    return step().pauses();
  }

  /**
   * Confirms that the state was read again after the given pause. Has no effect if the process was
   * paused once more since.
   */
  public void confirmRecovered(long pause) {
    State s = step();
    if (s.pauses() == pause) {
      state.compareAndSet(s, new State(s.nowMs(), s.wallMs(), s.pauses(), pause));
    }
  }

  private State step() {
    while (true) {
      State s = Objects.requireNonNull(state.get());
      long now = clock.nowMs();
      long wall = clock.wallMs();
      boolean paused = now - s.nowMs() > MAX_GAP_MS || wall - s.wallMs() > MAX_GAP_MS;
      long pauses = paused ? s.pauses() + 1 : s.pauses();
      State next = new State(now, wall, pauses, s.recovered());
      if (state.compareAndSet(s, next)) {
        return next;
      }
    }
  }
}

package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.cowslipyoke.util.Clock;

/** Holds the {@link FleetState} in force. Versions of the desired state and weights only grow. */
public final class FleetStateHolder {

  /**
   * Difference between the two clocks' progress since a reading above which the process counts as
   * suspended, in milliseconds. Above the drift and the rounding of both clocks.
   */
  static final long SUSPENDED_MS = 250;

  private final Clock clock;
  private final AtomicReference<FleetState> state;

  /** Creates a holder that knows nothing. */
  public FleetStateHolder(Clock clock) {
    this.clock = clock;
    this.state = new AtomicReference<>(FleetState.unknown(clock.nowMs(), clock.wallMs()));
  }

  /** Returns the state in force. */
  public FleetState get() {
    return Objects.requireNonNull(state.get());
  }

  /**
   * Takes a reading of what operators wrote. An older desired state or weight version than the one
   * in force is ignored; the rest of the reading is taken.
   *
   * @param sentMs monotonic time at which the reading was sent
   */
  public void updateOperatorConfig(
      DesiredState d, Set<String> out, Map<String, Integer> weights, long sentMs, long sentWallMs) {
    update(
        s -> {
          if (s.desired() != null && sentMs < s.operatorReadMs()) {
            return s;
          }
          DesiredState known = s.desired();
          DesiredState next = known != null && known.version() >= d.version() ? known : d;
          return s.withOperator(next, out, targets(s, weights), sentMs, sentWallMs);
        });
  }

  /** Takes a reading of the servers. */
  public void updateServers(Map<String, BackendServer> servers, long sentMs) {
    update(s -> sentMs < s.serversReadMs() ? s : s.withServers(servers, sentMs));
  }

  /** Takes a count of the live entries. */
  public void updateEntryCount(int entries) {
    update(s -> s.withEntries(entries));
  }

  /**
   * Returns the time since the last reading of what operators wrote, in milliseconds. Counts the
   * time in which the machine was suspended, where the monotonic clock stands still.
   */
  public long operatorConfigAgeMs() {
    FleetState s = get();
    if (s.desired() == null) {
      return Long.MAX_VALUE;
    }
    long age = clock.nowMs() - s.operatorReadMs();
    long wallAge = clock.wallMs() - s.operatorReadWallMs();
    return wallAge - age > SUSPENDED_MS ? wallAge : age;
  }

  private Map<String, WeightTarget> targets(FleetState s, Map<String, Integer> weights) {
    Map<String, WeightTarget> next = new HashMap<>(s.targets());
    weights.forEach(
        (model, version) -> {
          WeightTarget t = next.get(model);
          if (t == null || t.version() < version) {
            next.put(model, new WeightTarget(model, version, clock.nowMs(), s.desired() == null));
          }
        });
    return Map.copyOf(next);
  }

  private void update(UnaryOperator<FleetState> change) {
    state.updateAndGet(change);
  }
}

package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.cowslipyoke.util.Clock;

/**
 * Holds the current {@link FleetState}. Versions of the desired state and of weights never
 * decrease.
 */
public final class FleetStateHolder {

  /**
   * Minimum difference between the elapsed times of wall clock and monotonic clock at which the
   * process is taken to have been suspended, in milliseconds. Above the drift and the rounding of
   * both clocks.
   */
  static final long SUSPENDED_MS = 250;

  private final Clock clock;
  private final AtomicReference<FleetState> state;

  /** Creates a holder with the initial state. */
  public FleetStateHolder(Clock clock) {
    this.clock = clock;
    this.state = new AtomicReference<>(FleetState.initial(clock.nowMs(), clock.wallMs()));
  }

  /** Returns the current state. */
  public FleetState get() {
    return Objects.requireNonNull(state.get());
  }

  /**
   * Applies a read of the operators' configuration. A desired state or weights version that is
   * older than the current one is ignored; the rest is applied. A read that was sent before the
   * last one applied is ignored.
   *
   * @param sentMs monotonic time in milliseconds at which the read was sent
   * @param sentWallMs wall time of the same in Unix milliseconds
   */
  public void updateOperatorConfig(
      DesiredState d, Set<String> out, Map<String, Integer> weights, long sentMs, long sentWallMs) {
    update(
        s -> {
          if (s.desired() != null && sentMs < s.operatorConfigReadMs()) {
            return s;
          }
          DesiredState known = s.desired();
          DesiredState next = known != null && known.version() >= d.version() ? known : d;
          return s.withOperatorConfig(next, out, targets(s, weights), sentMs, sentWallMs);
        });
  }

  /**
   * Records that the operators' configuration was confirmed unchanged.
   *
   * @param readMs monotonic time in milliseconds at which the configuration was as it is here
   * @param readWallMs wall time of the same in Unix milliseconds
   */
  public void confirmOperatorConfig(long readMs, long readWallMs) {
    update(
        s ->
            s.desired() == null || readMs < s.operatorConfigReadMs()
                ? s
                : s.withOperatorConfig(
                    s.desired(), s.domainsOut(), s.targets(), readMs, readWallMs));
  }

  /** Records that the server list was confirmed unchanged as of a monotonic time. */
  public void confirmServers(long readMs) {
    update(s -> readMs < s.serversReadMs() ? s : s.withServers(s.servers(), readMs));
  }

  /** Applies a read of the server list, unless a newer one was applied. */
  public void updateServers(Map<String, BackendServer> servers, long sentMs) {
    update(s -> sentMs < s.serversReadMs() ? s : s.withServers(servers, sentMs));
  }

  /** Sets the number of live entries. */
  public void updateEntryCount(int entries) {
    update(s -> s.withEntries(entries));
  }

  /**
   * Returns the time since the last read of the operators' configuration, in milliseconds. Includes
   * time in which the machine was suspended, when the monotonic clock does not advance.
   */
  public long operatorConfigAgeMs() {
    FleetState s = get();
    if (s.desired() == null) {
      return Long.MAX_VALUE;
    }
    long age = clock.nowMs() - s.operatorConfigReadMs();
    long wallAge = clock.wallMs() - s.operatorConfigReadWallMs();
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

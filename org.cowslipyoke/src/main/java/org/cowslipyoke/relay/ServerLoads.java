package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.util.Clock;

/** The {@link ServerLoad} of each server. */
public final class ServerLoads {

  /** Bound of the memory; above the 3,100 servers of the target size with their restarts. */
  private static final int MAX_SERVERS = 8_192;

  /** Mean time for which a token stays before one was seen to leave, in milliseconds. */
  static final double FIRST_RESIDENCE_MS = 1_500;

  /** Weight of what was seen before when another request ends. */
  private static final double RESIDENCE_KEPT = 0.98;

  private final Clock clock;
  private double leftTokens;
  private double leftTokenMs;
  private final Cache<String, ServerLoad> loads =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates an empty record of loads. */
  public ServerLoads(Clock clock) {
    this.clock = clock;
  }

  /** Records that a request left an engine's memory. */
  public synchronized void left(long tokens, long tookMs) {
    leftTokens = RESIDENCE_KEPT * leftTokens + tokens;
    leftTokenMs = RESIDENCE_KEPT * leftTokenMs + (double) tokens * tookMs;
  }

  /** Returns the mean time for which a token stays in an engine's memory, in milliseconds. */
  public synchronized double residenceMs() {
    return leftTokens <= 0 ? FIRST_RESIDENCE_MS : leftTokenMs / leftTokens;
  }

  /** Returns the work of this process by incarnation; servers without work are left out. */
  public Map<String, Load> snapshot() {
    Map<String, Load> all = new HashMap<>();
    loads
        .asMap()
        .forEach(
            (incarnation, l) -> {
              Load s = l.snapshot();
              if (!s.equals(Load.NONE)) {
                all.put(incarnation, s);
              }
            });
    return all;
  }

  /**
   * Returns the newest version of a model's weights that is known of a server, 0 if it does not
   * hold the model: by its entry in the list, which lags by a second, and by what it stated since.
   * Within an incarnation versions only grow, so the greater one is the newer one. Statements count
   * for their incarnation: of a restarted server only the list is known.
   */
  public int weights(BackendServer server, String model) {
    Integer listed = server.weights(model);
    return listed == null ? 0 : Math.max(listed, of(server).reportedWeights());
  }

  /** Returns the load of a server. */
  public ServerLoad of(BackendServer server) {
    return loads.get(server.incarnation(), k -> new ServerLoad(clock));
  }
}

package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.util.Clock;

/** The {@link ServerLoad} of each server. */
public final class ServerLoads {

  /**
   * Maximum number of incarnations tracked; above the 3,100 servers of the largest planned
   * deployment with their restarts.
   */
  private static final int MAX_SERVERS = 8_192;

  /** Mean residence time assumed before the first request ended, in milliseconds. */
  static final double INITIAL_RESIDENCE_MS = 1_500;

  /** Factor by which earlier requests are discounted when another one ends. */
  private static final double RESIDENCE_DECAY = 0.98;

  private final Clock clock;
  private final Set<String> changed = ConcurrentHashMap.newKeySet();
  private volatile Consumer<Boolean> onPromptChange = urgent -> {};
  private double leftTokens;
  private double leftTokenMs;
  private final Cache<String, ServerLoad> loads =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates the loads of servers that are all idle. */
  public ServerLoads(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that a request has ended and freed its tokens in an engine's memory.
   *
   * @param tokens number of freed tokens
   * @param tookMs time that they were in memory, in milliseconds
   */
  public synchronized void recordResidence(long tokens, long tookMs) {
    leftTokens = RESIDENCE_DECAY * leftTokens + tokens;
    leftTokenMs = RESIDENCE_DECAY * leftTokenMs + (double) tokens * tookMs;
  }

  /** Returns the mean time that a token stays in an engine's memory, in milliseconds. */
  public synchronized double residenceMs() {
    return leftTokens <= 0 ? INITIAL_RESIDENCE_MS : leftTokenMs / leftTokens;
  }

  /** Returns the load from this process by server incarnation; idle servers are omitted. */
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
   * Sets the listener that is called after the load of a server by prompts has changed, with
   * whether work was added.
   */
  public void setChangeListener(Consumer<Boolean> listener) {
    onPromptChange = listener;
  }

  /**
   * Returns the loads that have changed by prompts since the last call, by server incarnation;
   * those of idle servers are {@link Load#NONE}.
   */
  public Map<String, Load> takeChanges() {
    Map<String, Load> loadsNow = new HashMap<>();
    for (String incarnation : List.copyOf(changed)) {
      changed.remove(incarnation);
      ServerLoad l = loads.getIfPresent(incarnation);
      loadsNow.put(incarnation, l == null ? Load.NONE : l.snapshot());
    }
    return loadsNow;
  }

  private void recordChange(String incarnation, boolean urgent) {
    changed.add(incarnation);
    onPromptChange.accept(urgent);
  }

  /**
   * Returns the newest known weights version of a model at a server, 0 if the server does not have
   * the model. Combines the server list, which lags by a second, with the versions that the server
   * reported since. Within an incarnation versions only increase, so the greater one is the newer
   * one. Reports apply to their own incarnation only; for a restarted server the list is the only
   * source.
   */
  public int weights(BackendServer server, String model) {
    Integer listed = server.weights(model);
    return listed == null ? 0 : Math.max(listed, of(server).reportedWeights(model));
  }

  /** Returns the load of a server. */
  public ServerLoad of(BackendServer server) {
    return loads.get(
        server.incarnation(), k -> new ServerLoad(clock, urgent -> recordChange(k, urgent)));
  }
}

package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.cowslipyoke.util.Clock;

/** The {@link ServerLoad} of each server. */
public final class ServerLoads {

  /** Bound of the memory; above the 3,100 servers of the target size with their restarts. */
  private static final int MAX_SERVERS = 8_192;

  private final Clock clock;
  private final Cache<String, ServerLoad> loads =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates an empty record of loads. */
  public ServerLoads(Clock clock) {
    this.clock = clock;
  }

  /** Returns the load of a server. */
  public ServerLoad of(BackendServer server) {
    return loads.get(server.incarnation(), k -> new ServerLoad(clock));
  }
}

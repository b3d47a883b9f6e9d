package org.cowslipyoke.routing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/** Cache of the load that each server stated in its last offer to this entry. */
public final class ServerLoadCache {

  /** Age in milliseconds after which a load is treated as unknown. */
  public static final long MAX_AGE_MS = 5_000;

  /** Largest number of cached servers; above the 3,100 servers of the target size. */
  private static final int MAX_SERVERS = 4_096;

  private record Load(int runs, long atMs) {}

  private final Clock clock;
  private final Cache<String, Load> loads =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates an empty cache. */
  public ServerLoadCache(Clock clock) {
    this.clock = clock;
  }

  /** Records the load that an offer states. */
  public void record(Candidate candidate) {
    Offer o = candidate.offer();
    loads.put(candidate.server().vm(), new Load(o.queued() + o.active(), clock.nowMs()));
  }

  /**
   * Returns the last known number of queued and active runs at a server. For an unknown load it is
   * randomly 0 or 1, so that entries neither avoid new servers nor all choose the same one.
   */
  public int runsAt(Vm server) {
    @Nullable Load l = loads.getIfPresent(server.vm());
    if (l == null || clock.nowMs() - l.atMs() > MAX_AGE_MS) {
      return ThreadLocalRandom.current().nextInt(2);
    }
    return l.runs();
  }
}

package org.cowslipyoke.routing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/** Loads of servers as stated in their last offers to this entry. */
public final class KnownLoad {

  /** Age after which a load counts as unknown, in milliseconds. */
  public static final long MAX_AGE_MS = 5_000;

  /** Bound of the memory; above the 3,100 servers of the target size. */
  private static final int MAX_SERVERS = 4_096;

  private record Load(int runs, long atMs) {}

  private final Clock clock;
  private final Cache<String, Load> loads =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates an empty record of loads. */
  public KnownLoad(Clock clock) {
    this.clock = clock;
  }

  /** Records the load that an offer states. */
  public void record(Candidate candidate) {
    Offer o = candidate.offer();
    loads.put(candidate.server().vm(), new Load(o.queued() + o.active(), clock.nowMs()));
  }

  /**
   * Returns the last known runs at a server. An unknown load is random in {0, 1}, so that entries
   * neither avoid new servers nor all rush to the same one.
   */
  public int of(Vm server) {
    @Nullable Load l = loads.getIfPresent(server.vm());
    if (l == null || clock.nowMs() - l.atMs() > MAX_AGE_MS) {
      return ThreadLocalRandom.current().nextInt(2);
    }
    return l.runs();
  }
}

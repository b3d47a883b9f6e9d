package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipyoke.util.Clock;

/**
 * Limits what this entry sends to a server in cold start to its share of what the server bears. The
 * shares of all entries together stay below the server's rate, so no message is needed between
 * them. A process that has just started sends nothing to cold servers until the others count it.
 */
public final class ColdShare {

  /** Window in which requests are counted, in milliseconds. */
  static final long WINDOW_MS = 1_000;

  /** Time after the start in which the other entries may not count this one yet, in ms. */
  static final long SETTLE_MS = 3_000;

  /** Servers that are cold at the same time; above a failure domain of the target size. */
  private static final int MAX_SERVERS = 1_024;

  private final Clock clock;
  private final long startedMs;
  private final Cache<String, Deque<Long>> sent =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates the limit of a process that starts now. */
  public ColdShare(Clock clock) {
    this.clock = clock;
    this.startedMs = clock.nowMs();
  }

  /** Takes one request from the share of a cold server; returns false if it is used up. */
  public boolean tryTake(BackendServer server, double perSecond, int entries) {
    long now = clock.nowMs();
    if (now - startedMs < SETTLE_MS) {
      return false;
    }
    Deque<Long> times = sent.get(server.incarnation(), k -> new ArrayDeque<>());
    synchronized (times) {
      while (!times.isEmpty() && now - times.getFirst() >= WINDOW_MS) {
        times.removeFirst();
      }
      if (times.size() >= Math.floor(perSecond / Math.max(1, entries))) {
        return false;
      }
      times.addLast(now);
      return true;
    }
  }
}

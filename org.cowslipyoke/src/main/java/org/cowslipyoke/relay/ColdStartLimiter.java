package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipyoke.util.Clock;

/**
 * Rate limiter for requests to servers in cold start. Each entry uses an equal share of the
 * server's rate, so that the limit holds without coordination between entries. A process that has
 * just started sends nothing to cold servers until the other entries count it.
 */
public final class ColdStartLimiter {

  /** Sliding window in which requests are counted, in milliseconds. */
  static final long WINDOW_MS = 1_000;

  /** Time after the start until the other entries count this one, in milliseconds. */
  static final long START_GRACE_MS = 3_000;

  /**
   * Maximum number of cold servers tracked; above the size of a failure domain in the largest
   * planned deployment.
   */
  private static final int MAX_SERVERS = 1_024;

  private final Clock clock;
  private final long startedMs;
  private final Cache<String, Deque<Long>> sent =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates the limiter; the process is taken to start now. */
  public ColdStartLimiter(Clock clock) {
    this.clock = clock;
    this.startedMs = clock.nowMs();
  }

  /**
   * Acquires a permit for one request to a cold server; returns false if this entry's share is used
   * up.
   *
   * @param perSecond requests per second that the server accepts from all entries
   * @param entries number of live entries
   */
  public boolean tryAcquire(BackendServer server, double perSecond, int entries) {
    long now = clock.nowMs();
    if (now - startedMs < START_GRACE_MS) {
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

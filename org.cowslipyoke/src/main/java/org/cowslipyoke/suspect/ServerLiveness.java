package org.cowslipyoke.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Distinguishes servers that crashed from servers to which only connections were lost: the latter
 * are observed alive soon after. Thread-safe.
 */
final class ServerLiveness {

  /**
   * Time after a loss in which observations of the server refute a crash, in milliseconds. A server
   * observed alive later may have restarted under its id; restarts take more than a second.
   */
  static final long REFUTATION_MS = 1_000;

  private static final int MAX_SERVERS = 4_096;

  private static final long NEVER = Long.MIN_VALUE;

  private record Observations(long lostMs, long aliveMs) {}

  private final Map<String, Observations> byIncarnation = new LinkedHashMap<>();

  /** Records that a connection to a server was lost. */
  synchronized void recordLost(String incarnation, long atMs) {
    Observations o = byIncarnation.get(incarnation);
    if (o == null) {
      put(incarnation, new Observations(atMs, NEVER));
    } else if (o.lostMs() == NEVER) {
      put(incarnation, new Observations(atMs, o.aliveMs()));
    } else if (o.aliveMs() > o.lostMs() && atMs > o.lostMs()) {
      // The earlier loss was refuted, so this is another one.
      put(incarnation, new Observations(atMs, o.aliveMs()));
    }
  }

  /** Records that a server was alive. */
  synchronized void recordAlive(String incarnation, long atMs) {
    Observations o = byIncarnation.get(incarnation);
    if (o == null) {
      put(incarnation, new Observations(NEVER, atMs));
    } else if (atMs > o.aliveMs() && (o.lostMs() == NEVER || atMs <= o.lostMs() + REFUTATION_MS)) {
      put(incarnation, new Observations(o.lostMs(), atMs));
    }
  }

  /** Returns whether a server was observed alive soon after it was lost at the given time. */
  synchronized boolean isRefuted(String incarnation, long lostMs) {
    Long alive = lastAliveMs(incarnation);
    return alive != null && alive > lostMs;
  }

  /** Returns the time at which a server was last observed alive, null if never. */
  synchronized @Nullable Long lastAliveMs(String incarnation) {
    Observations o = byIncarnation.get(incarnation);
    return o == null || o.aliveMs() == NEVER ? null : o.aliveMs();
  }

  /** Removes all observations. */
  synchronized void clear() {
    byIncarnation.clear();
  }

  private void put(String incarnation, Observations o) {
    if (byIncarnation.size() >= MAX_SERVERS && !byIncarnation.containsKey(incarnation)) {
      byIncarnation.remove(byIncarnation.keySet().iterator().next());
    }
    byIncarnation.put(incarnation, o);
  }
}

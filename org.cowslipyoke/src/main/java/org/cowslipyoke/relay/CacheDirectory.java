package org.cowslipyoke.relay;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.util.Clock;

/** The {@link CacheContents} of all engines and stores by address. */
public final class CacheDirectory {

  /**
   * Maximum age of a view, in milliseconds, at which its node is used as a source. Nodes are polled
   * at least twice in this time, so that one response may be lost.
   */
  public static final long MAX_AGE_MS = 1_200;

  /**
   * Time on the servers' clock after a response of a store in which parts may be fetched on the
   * strength of it, in milliseconds. Nothing is saved to a store for this time after the first
   * response that shows its restart, so a request that was placed before the restart and waits at
   * its server can't fetch a part that is being written again.
   */
  public static final long FETCH_LIMIT_MS = 4_000;

  /**
   * Time after the restart of a store that states no time in which nothing is saved to it, in
   * milliseconds. Until {@link #MAX_AGE_MS} has passed, another entry may have missed the restart.
   */
  public static final long RESTART_GRACE_MS = 2_500;

  private final Clock clock;
  private final Map<String, CacheContents> contentsByAddress = new ConcurrentHashMap<>();

  /** Creates an empty directory. */
  public CacheDirectory(Clock clock) {
    this.clock = clock;
  }

  /** Returns the view of a node, creating an empty one for an unknown address. */
  public CacheContents contents(String address) {
    return contentsByAddress.computeIfAbsent(address, a -> new CacheContents());
  }

  /** Removes the views of all nodes except the given ones. */
  public void retain(Set<String> addresses) {
    contentsByAddress.keySet().retainAll(addresses);
  }

  /**
   * Returns the number of cached tokens of a part at a node, 0 if the view is missing or too old.
   */
  public int tokens(String address, CacheContents.Key key) {
    CacheContents c = contentsByAddress.get(address);
    return c == null || c.ageMs(clock.nowMs()) > MAX_AGE_MS ? 0 : c.tokens(key);
  }

  /** Returns whether a node has answered a poll since it became known. */
  public boolean hasAnswered(String address) {
    CacheContents c = contentsByAddress.get(address);
    return c != null && c.hasAnswered();
  }

  /** Returns whether a polled node has not answered within {@link #MAX_AGE_MS}. */
  public boolean isSilent(String address) {
    CacheContents c = contentsByAddress.get(address);
    return c != null && c.sinceAnswerMs(clock.nowMs()) > MAX_AGE_MS;
  }

  /**
   * Returns the time on the servers' clock until which parts may be fetched from a node on the
   * strength of its view, {@link CacheContents#UNKNOWN_CLOCK} if it states no time. Must be read
   * before the view, because the node may restart in between.
   */
  public long fetchUntilMs(String address) {
    CacheContents c = contentsByAddress.get(address);
    long clockMs = c == null ? CacheContents.UNKNOWN_CLOCK : c.clockMs();
    return clockMs == CacheContents.UNKNOWN_CLOCK
        ? CacheContents.UNKNOWN_CLOCK
        : clockMs + FETCH_LIMIT_MS;
  }

  /** Returns whether events of a node's current epoch were read. */
  public boolean hasReadEvents(String address) {
    CacheContents c = contentsByAddress.get(address);
    return c != null && c.hasReadEvents();
  }

  /**
   * Returns whether a part may be saved to a store: its view is fresh, it did not restart recently
   * and it has enough free capacity.
   */
  public boolean maySave(CacheStore store, int tokens) {
    CacheContents c = contentsByAddress.get(store.address());
    long now = clock.nowMs();
    return c != null
        && c.ageMs(now) <= MAX_AGE_MS
        && isSettled(c, now)
        && c.usedTokens() + tokens <= store.cacheTokens();
  }

  private static boolean isSettled(CacheContents c, long nowMs) {
    long spanMs = c.epochSpanMs();
    return spanMs == CacheContents.UNKNOWN_CLOCK
        ? c.epochAgeMs(nowMs) >= RESTART_GRACE_MS
        : spanMs >= FETCH_LIMIT_MS;
  }
}

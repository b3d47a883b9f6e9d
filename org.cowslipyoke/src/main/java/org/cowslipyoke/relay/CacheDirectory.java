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
   * Time after the restart of a store in which nothing is saved to it, in milliseconds. Until
   * {@link #MAX_AGE_MS} has passed, another entry may have missed the restart and could fetch a
   * part that is being rewritten.
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
   * Returns whether a part may be saved to a store: its view is fresh, it did not restart recently
   * and it has enough free capacity.
   */
  public boolean maySave(CacheStore store, int tokens) {
    CacheContents c = contentsByAddress.get(store.address());
    long now = clock.nowMs();
    return c != null
        && c.ageMs(now) <= MAX_AGE_MS
        && c.epochAgeMs(now) >= RESTART_GRACE_MS
        && c.usedTokens() + tokens <= store.cacheTokens();
  }
}

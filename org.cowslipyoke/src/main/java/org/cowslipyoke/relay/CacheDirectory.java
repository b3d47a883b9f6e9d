package org.cowslipyoke.relay;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.util.Clock;

/** The {@link CacheContents} of all engines and stores by address. */
public final class CacheDirectory {

  /**
   * Age of a reading above which a place is not used as a source, in milliseconds. Readers ask
   * again within half of it, so one lost answer is borne.
   */
  public static final long MAX_AGE_MS = 1_200;

  /**
   * Time after a store restarted in which nothing is saved to it, in milliseconds: another entry
   * may not have noticed the restart and would read a part that is being written anew. Above {@link
   * #MAX_AGE_MS}, after which that entry stops reading.
   */
  public static final long SETTLE_MS = 2_500;

  private final Clock clock;
  private final Map<String, CacheContents> places = new ConcurrentHashMap<>();

  /** Creates an empty directory. */
  public CacheDirectory(Clock clock) {
    this.clock = clock;
  }

  /** Returns the contents of a place, which are empty at first. */
  public CacheContents contents(String address) {
    return places.computeIfAbsent(address, a -> new CacheContents());
  }

  /** Forgets all places but the given ones. */
  public void retain(Set<String> addresses) {
    places.keySet().retainAll(addresses);
  }

  /** Returns the tokens of a part that a place holds by a fresh reading. */
  public int tokens(String address, CacheContents.Key key) {
    CacheContents c = places.get(address);
    return c == null || c.ageMs(clock.nowMs()) > MAX_AGE_MS ? 0 : c.tokens(key);
  }

  /** Returns whether a place that is read has not answered lately. */
  public boolean isSilent(String address) {
    CacheContents c = places.get(address);
    return c != null && c.silentMs(clock.nowMs()) > MAX_AGE_MS;
  }

  /** Returns whether a part may be saved to a store that has room for it. */
  public boolean maySave(CacheStore store, int tokens) {
    CacheContents c = places.get(store.address());
    long now = clock.nowMs();
    return c != null
        && c.ageMs(now) <= MAX_AGE_MS
        && c.epochAgeMs(now) >= SETTLE_MS
        && c.usedTokens() + tokens <= store.cacheTokens();
  }
}

package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parts of prompts that one engine or store holds, as its events tell. A hint: events come late and
 * some never arrive. Thread-safe.
 */
public final class CacheContents {

  /** Parts remembered of one place; above what the largest store of today holds. */
  static final int MAX_PARTS = 16_384;

  /**
   * A part under a salt.
   *
   * @param salt text that separates weights and organisations
   */
  public record Key(String salt, String part) {}

  /**
   * A change.
   *
   * @param tokens tokens of the part that are held now, 0 if none
   */
  public record Change(Key key, int tokens) {}

  private final Map<Key, Integer> parts = new HashMap<>();
  private long epoch = -1;
  private long epochSinceMs;
  private long readMs = Long.MIN_VALUE / 2;
  private long aliveMs = Long.MIN_VALUE / 2;
  private long nextEvent;
  private long usedTokens;

  /** Returns the number of the event to read next. */
  public synchronized long nextEvent() {
    return nextEvent;
  }

  /** Returns the epoch of the last answer, -1 before the first. */
  public synchronized long epoch() {
    return epoch;
  }

  /**
   * Takes an answer to a request for events. A restarted place counts its events anew, so those
   * before the number that was asked for are not among these: they are read next, from the first.
   *
   * @param lost whether events are missing before the first of these
   * @param sentMs monotonic time at which the request was sent
   * @return whether the contents are not known as a whole now
   */
  public synchronized boolean applyEvents(
      long newEpoch, long newNext, boolean lost, List<Change> changes, long sentMs) {
    boolean restarted = newEpoch != epoch;
    boolean first = epoch < 0;
    if (restarted) {
      parts.clear();
      usedTokens = 0;
      epoch = newEpoch;
      epochSinceMs = sentMs;
    }
    changes.forEach(this::apply);
    nextEvent = restarted && !first ? 0 : newNext;
    readMs = sentMs;
    aliveMs = sentMs;
    return restarted || lost;
  }

  /** Replaces the contents by a whole list, which states the epoch and the next event. */
  public synchronized void replaceAll(
      long newEpoch, long newNext, List<Change> whole, long sentMs) {
    if (newEpoch != epoch) {
      epochSinceMs = sentMs;
    }
    parts.clear();
    usedTokens = 0;
    epoch = newEpoch;
    whole.forEach(this::apply);
    nextEvent = newNext;
    readMs = sentMs;
    aliveMs = sentMs;
  }

  /** Records that the place answered, but not with its contents. */
  public synchronized void recordResponse(long sentMs) {
    aliveMs = sentMs;
  }

  /** Returns the time since the last request that the place answered was sent. */
  public synchronized long silentMs(long nowMs) {
    return nowMs - aliveMs;
  }

  /** Returns the tokens of a part that are held. */
  public synchronized int tokens(Key key) {
    return parts.getOrDefault(key, 0);
  }

  /** Returns the tokens held in all. */
  public synchronized long usedTokens() {
    return usedTokens;
  }

  /** Returns the time since the last reading was sent. */
  public synchronized long ageMs(long nowMs) {
    return nowMs - readMs;
  }

  /** Returns the time since the place was first seen in its present epoch. */
  public synchronized long epochAgeMs(long nowMs) {
    return epoch < 0 ? 0 : nowMs - epochSinceMs;
  }

  private void apply(Change c) {
    Integer before = c.tokens() > 0 ? parts.put(c.key(), c.tokens()) : parts.remove(c.key());
    usedTokens += Math.max(0, c.tokens()) - (before == null ? 0 : before);
    if (parts.size() > MAX_PARTS) {
      Key any = parts.keySet().iterator().next();
      usedTokens -= parts.remove(any);
    }
  }
}

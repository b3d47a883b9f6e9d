package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * View of the prompt parts in the KV cache of one node (an engine or a store), built from the
 * node's cache events. The view is only a hint: events are delayed and may be lost. Thread-safe.
 */
public final class CacheContents {

  /** Maximum number of parts tracked per node; above the capacity of the largest deployed store. */
  static final int MAX_PARTS = 16_384;

  /** Time on the servers' clock that is not known. */
  public static final long UNKNOWN_CLOCK = -1;

  /** Time of a read that never was; differences to it don't overflow. */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /**
   * Identifies a cached part.
   *
   * @param salt separates caches of different weights and organisations
   */
  public record Key(String salt, String part) {}

  /**
   * A change of the cached length of a part.
   *
   * @param number number of the event, {@link #UNNUMBERED} if the change is part of a full listing
   * @param tokens cached tokens of the part after the change, 0 if it was evicted
   */
  public record Change(long number, Key key, int tokens) {

    /** Number of a change that is always newer than the view. */
    public static final long UNNUMBERED = Long.MAX_VALUE;

    /** Creates a change without a number. */
    public Change(Key key, int tokens) {
      this(UNNUMBERED, key, tokens);
    }
  }

  private final Map<Key, Integer> parts = new HashMap<>();
  private long epoch = -1;
  private long epochSinceMs;
  private long readMs = NEVER_MS;
  private long aliveMs = NEVER_MS;
  private long clockMs = UNKNOWN_CLOCK;
  private long epochClockMs = UNKNOWN_CLOCK;
  private boolean eventsRead;
  private long nextEvent;
  private long usedTokens;

  /** Returns the number after which events are to be requested. */
  public synchronized long nextEvent() {
    return nextEvent;
  }

  /** Returns the epoch in the last response, -1 before the first one. */
  public synchronized long epoch() {
    return epoch;
  }

  /** Applies a response to a request for events that states no time. */
  public boolean applyEvents(
      long newEpoch, long newNext, boolean lost, List<Change> changes, long sentMs) {
    return applyEvents(newEpoch, newNext, lost, changes, sentMs, UNKNOWN_CLOCK);
  }

  /**
   * Applies a response to a request for events. A restarted node numbers its events from 0 again,
   * so this response lacks the events before the requested number; the next request starts at 0.
   * Events that another entry has passed on since the request was sent are not applied again.
   *
   * @param lost whether events before the first one in this response were lost
   * @param sentMs monotonic time in milliseconds at which the request was sent
   * @param atClockMs time of the response on the servers' clock, {@link #UNKNOWN_CLOCK} if not
   *     stated
   * @return whether the view is now incomplete
   */
  public synchronized boolean applyEvents(
      long newEpoch,
      long newNext,
      boolean lost,
      List<Change> changes,
      long sentMs,
      long atClockMs) {
    boolean restarted = newEpoch != epoch;
    boolean first = epoch < 0;
    if (restarted) {
      parts.clear();
      usedTokens = 0;
      beginEpoch(newEpoch, sentMs);
    }
    long known = restarted ? 0 : nextEvent;
    changes.stream().filter(c -> c.number() > known).forEach(this::apply);
    nextEvent = restarted && !first ? 0 : Math.max(known, newNext);
    eventsRead = true;
    setRead(sentMs, atClockMs);
    return restarted || lost;
  }

  /**
   * Applies the events that another entry has read. Events of another epoch are applied if they
   * include the first one.
   *
   * @param readAtMs monotonic time in milliseconds at which their request was sent, or earlier
   * @return whether the view includes them; false if events in between are missing, so that this
   *     entry has to read the events itself
   */
  public synchronized boolean applyShared(CacheEventBatch batch, long readAtMs) {
    boolean restarted = batch.epoch() != epoch;
    if (restarted ? batch.since() != 0 : batch.since() > nextEvent) {
      return false;
    }
    if (restarted) {
      parts.clear();
      usedTokens = 0;
      nextEvent = 0;
      beginEpoch(batch.epoch(), readAtMs);
    }
    long known = nextEvent;
    if (batch.next() >= known) {
      batch.changes().stream().filter(c -> c.number() > known).forEach(this::apply);
      nextEvent = batch.next();
      eventsRead = true;
      setRead(readAtMs, batch.clockMs());
    }
    return true;
  }

  private void beginEpoch(long newEpoch, long atMs) {
    epoch = newEpoch;
    epochSinceMs = atMs;
    clockMs = UNKNOWN_CLOCK;
    epochClockMs = UNKNOWN_CLOCK;
    eventsRead = false;
  }

  private void setRead(long atMs, long atClockMs) {
    if (atMs >= readMs || clockMs == UNKNOWN_CLOCK) {
      clockMs = atClockMs;
    }
    if (epochClockMs == UNKNOWN_CLOCK) {
      epochClockMs = atClockMs;
    }
    readMs = Math.max(readMs, atMs);
    aliveMs = Math.max(aliveMs, atMs);
  }

  /**
   * Replaces the view with a full listing, which states the epoch and the number of the next event
   * but no time.
   */
  public synchronized void replaceAll(
      long newEpoch, long newNext, List<Change> whole, long sentMs) {
    if (newEpoch != epoch) {
      beginEpoch(newEpoch, sentMs);
    }
    parts.clear();
    usedTokens = 0;
    whole.forEach(this::apply);
    nextEvent = newNext;
    // The listing is newer than the last known time, so limits that follow from it end too early.
    setRead(sentMs, clockMs);
  }

  /** Records a response of the node that does not update the view. */
  public synchronized void recordResponse(long sentMs) {
    aliveMs = sentMs;
  }

  /** Returns whether the node has answered a request since it became known. */
  public synchronized boolean hasAnswered() {
    return aliveMs > NEVER_MS;
  }

  /** Returns the time since the last answered request was sent, in milliseconds. */
  public synchronized long sinceAnswerMs(long nowMs) {
    return nowMs - aliveMs;
  }

  /** Returns the number of cached tokens of a part. */
  public synchronized int tokens(Key key) {
    return parts.getOrDefault(key, 0);
  }

  /** Returns the total number of cached tokens. */
  public synchronized long usedTokens() {
    return usedTokens;
  }

  /**
   * Returns the age of the view in milliseconds, measured from the sending of the last request that
   * updated it.
   */
  public synchronized long ageMs(long nowMs) {
    return nowMs - readMs;
  }

  /** Returns the time since the node was first seen in its current epoch, in milliseconds. */
  public synchronized long epochAgeMs(long nowMs) {
    return epoch < 0 ? 0 : nowMs - epochSinceMs;
  }

  /** Returns whether events of the current epoch were read, from which its time is known. */
  public synchronized boolean hasReadEvents() {
    return eventsRead;
  }

  /**
   * Returns the time of the view on the servers' clock in milliseconds, {@link #UNKNOWN_CLOCK} if
   * the node states none. The node had not restarted again by then.
   */
  public synchronized long clockMs() {
    return clockMs;
  }

  /**
   * Returns the time by which the view is newer than the first response in the current epoch, in
   * milliseconds on the servers' clock; {@link #UNKNOWN_CLOCK} if the node states none.
   */
  public synchronized long epochSpanMs() {
    return clockMs == UNKNOWN_CLOCK || epochClockMs == UNKNOWN_CLOCK
        ? UNKNOWN_CLOCK
        : Math.max(0, clockMs - epochClockMs);
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

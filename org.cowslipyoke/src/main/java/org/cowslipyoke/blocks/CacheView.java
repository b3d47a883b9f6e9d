package org.cowslipyoke.blocks;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipyoke.platform.ModelEngine.CacheChange;
import org.cowslipyoke.platform.ModelEngine.CacheEvent;
import org.cowslipyoke.platform.ModelEngine.CacheEvents;

/**
 * Which blocks the engine probably holds, from its cache events. The events are hints: a gap in
 * their sequence discards the view until the whole set was read again. Thread-safe.
 */
public final class CacheView {

  private final Set<BlockKey> held = new HashSet<>();
  private long sequence;
  private boolean known;

  /** Returns the sequence number up to which events were seen. */
  public synchronized long sequence() {
    return sequence;
  }

  /** Returns whether the view is usable; if not, {@link #reset} is due. */
  public synchronized boolean isKnown() {
    return known;
  }

  /**
   * Applies events. An event that is missing or late makes the view unknown.
   *
   * @return whether the view is usable afterwards
   */
  public synchronized boolean apply(CacheEvents batch) {
    List<CacheEvent> events =
        batch.events().stream().sorted(Comparator.comparingLong(CacheEvent::sequence)).toList();
    if (batch.firstAvailable() > sequence + 1) {
      discard();
      sequence = batch.firstAvailable() - 1;
    }
    for (CacheEvent e : events) {
      if (e.sequence() <= sequence) {
        continue;
      }
      if (e.sequence() != sequence + 1) {
        discard();
      }
      sequence = e.sequence();
      if (e.change() == CacheChange.ADDED) {
        held.add(e.key());
      } else {
        held.remove(e.key());
      }
    }
    return known;
  }

  /**
   * Replaces the view by the whole set, read after events up to the present sequence number were
   * applied. Later events that the set already reflects have no further effect.
   */
  public synchronized void reset(List<BlockKey> wholeSet) {
    held.clear();
    held.addAll(wholeSet);
    known = true;
  }

  /** Forgets everything because the engine started anew and numbers its events from 1. */
  public synchronized void restart() {
    discard();
    sequence = 0;
  }

  /** Notes an import or a run that put blocks into the engine. */
  public synchronized void added(List<BlockKey> keys) {
    if (known) {
      held.addAll(keys);
    }
  }

  /** Returns the number of blocks at the start of the chain that the engine probably holds. */
  public synchronized int prefixLength(List<BlockKey> chain) {
    int n = 0;
    while (known && n < chain.size() && held.contains(chain.get(n))) {
      n++;
    }
    return n;
  }

  private void discard() {
    held.clear();
    known = false;
  }
}

package org.cowslipyoke.blocks;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipyoke.platform.ModelEngine.CacheChange;
import org.cowslipyoke.platform.ModelEngine.CacheEvent;
import org.cowslipyoke.platform.ModelEngine.CacheEvents;

/**
 * The blocks that the engine's cache probably holds, tracked by its cache events. The events are
 * hints: after a gap in their sequence the view is unknown until the complete set is read again.
 * Thread-safe.
 */
public final class CacheView {

  private final Set<BlockKey> cached = new HashSet<>();
  private long sequence;
  private boolean known;

  /** Returns the sequence number of the last event that was applied or skipped. */
  public synchronized long sequence() {
    return sequence;
  }

  /** Returns whether the view may be used; if not, {@link #reset} must be called. */
  public synchronized boolean isKnown() {
    return known;
  }

  /**
   * Applies events. If an event is missing or arrives later than this batch, the view becomes
   * unknown.
   *
   * @return whether the view may be used afterwards
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
        cached.add(e.key());
      } else {
        cached.remove(e.key());
      }
    }
    return known;
  }

  /**
   * Replaces the view by the complete set, which must be read after the events up to {@link
   * #sequence} were applied. Applying a later event that the set already reflects changes nothing.
   */
  public synchronized void reset(List<BlockKey> wholeSet) {
    cached.clear();
    cached.addAll(wholeSet);
    known = true;
  }

  /** Discards the view because the engine has restarted and numbers its events from 1 again. */
  public synchronized void restart() {
    discard();
    sequence = 0;
  }

  /** Adds blocks that an import or a run has put into the engine's cache. */
  public synchronized void added(List<BlockKey> keys) {
    if (known) {
      cached.addAll(keys);
    }
  }

  /** Returns the number of blocks at the start of the chain that the engine probably holds. */
  public synchronized int prefixLength(List<BlockKey> chain) {
    int n = 0;
    while (known && n < chain.size() && cached.contains(chain.get(n))) {
      n++;
    }
    return n;
  }

  private void discard() {
    cached.clear();
    known = false;
  }
}

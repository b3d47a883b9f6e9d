package org.cowslipyoke.failover;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipyoke.util.Clock;

/**
 * Memory that copies of this entry's runs occupy at other servers. The server frees a copy when its
 * run has ended successfully; the copy of any other run stays for the time that the server keeps
 * copies. Thread-safe.
 */
public final class CopyLedger {

  /** Copy that expires at a time of the monotonic clock. */
  private record Expiring(String incarnation, long tokens, long atMs) {}

  private final Clock clock;
  private final Map<String, Long> tokens = new HashMap<>();
  private final Map<Long, Queue<Expiring>> expiring = new HashMap<>();

  /** Creates a ledger without copies. */
  public CopyLedger(Clock clock) {
    this.clock = clock;
  }

  /** One copy; closed once, when its run ends. */
  public final class Entry {

    private final String incarnation;
    private final long size;
    private final long keptMs;
    private final AtomicBoolean closed = new AtomicBoolean();

    private Entry(String incarnation, long size, long keptMs) {
      this.incarnation = incarnation;
      this.size = size;
      this.keptMs = keptMs;
    }

    /**
     * Records the end of the run.
     *
     * @param freed whether the server frees the copy at once
     */
    public void close(boolean freed) {
      if (!closed.getAndSet(true)) {
        release(new Expiring(incarnation, size, clock.nowMs() + (freed ? 0 : keptMs)), keptMs);
      }
    }
  }

  /**
   * Records a copy.
   *
   * @param size expected size in tokens
   * @param keptMs time for which the server keeps it if the run does not end successfully, in
   *     milliseconds
   */
  public synchronized Entry add(String incarnation, long size, long keptMs) {
    tokens.merge(incarnation, size, Long::sum);
    return new Entry(incarnation, size, keptMs);
  }

  private synchronized void release(Expiring e, long keptMs) {
    if (e.atMs() <= clock.nowMs()) {
      subtract(e);
    } else {
      expiring.computeIfAbsent(keptMs, k -> new ArrayDeque<>()).add(e);
    }
  }

  /** Returns the memory of the copies at a server in tokens. */
  public synchronized long tokensAt(String incarnation) {
    long now = clock.nowMs();
    for (Queue<Expiring> q : expiring.values()) {
      while (!q.isEmpty() && q.element().atMs() <= now) {
        subtract(q.remove());
      }
    }
    return tokens.getOrDefault(incarnation, 0L);
  }

  private void subtract(Expiring e) {
    tokens.computeIfPresent(e.incarnation(), (k, n) -> n > e.tokens() ? n - e.tokens() : null);
  }
}

package org.cowslipyoke.failover;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.ServerLoads;
import org.cowslipyoke.util.Clock;

/**
 * Memory that copies of this entry's runs occupy at other servers, recorded in the loads of these
 * servers, so that placement and the reports to other entries include it. The server frees a copy
 * when its run has ended successfully; the copy of any other run stays for the time that the server
 * keeps copies. Thread-safe.
 */
public final class CopyLedger {

  /** Copy that expires at a time of the monotonic clock. */
  private record Expiring(BackendServer server, long tokens, long atMs) {}

  private final Clock clock;
  private final ServerLoads loads;
  private final Map<Long, Queue<Expiring>> expiring = new HashMap<>();

  /** Creates a ledger without copies. */
  public CopyLedger(Clock clock, ServerLoads loads) {
    this.clock = clock;
    this.loads = loads;
  }

  /** One copy; closed once, when its run ends. */
  public final class Entry {

    private final BackendServer server;
    private final long size;
    private final long keptMs;
    private final AtomicBoolean closed = new AtomicBoolean();

    private Entry(BackendServer server, long size, long keptMs) {
      this.server = server;
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
        release(new Expiring(server, size, clock.nowMs() + (freed ? 0 : keptMs)), keptMs);
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
  public Entry add(BackendServer server, long size, long keptMs) {
    loads.of(server).recordCopy(size);
    return new Entry(server, size, keptMs);
  }

  private void release(Expiring e, long keptMs) {
    if (e.atMs() <= clock.nowMs()) {
      loads.of(e.server()).recordCopy(-e.tokens());
      return;
    }
    synchronized (this) {
      expiring.computeIfAbsent(keptMs, k -> new ArrayDeque<>()).add(e);
    }
  }

  /** Frees the memory of copies whose time is over; to be called regularly. */
  public void expire() {
    long now = clock.nowMs();
    List<Expiring> over = new ArrayList<>();
    synchronized (this) {
      for (Queue<Expiring> q : expiring.values()) {
        while (!q.isEmpty() && q.element().atMs() <= now) {
          over.add(q.remove());
        }
      }
    }
    over.forEach(e -> loads.of(e.server()).recordCopy(-e.tokens()));
  }
}

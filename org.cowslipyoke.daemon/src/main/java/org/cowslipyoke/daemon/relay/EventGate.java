package org.cowslipyoke.daemon.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Holds the events of a stream, and its end, until the first event may be passed on. Passes them on
 * in order. Thread-safe.
 */
final class EventGate {

  /** Bytes that are held at most; events of engines have a few hundred. */
  private static final int MAX_HELD_BYTES = 256 << 10;

  /** Receives what passes. */
  interface Outlet {

    /**
     * Passes events on.
     *
     * @param lastId id of the last one
     */
    void pass(byte[] events, @Nullable String lastId);

    /** Ends a stream whose first event may not be passed on. */
    void refuse();
  }

  private final Supplier<CompletableFuture<Boolean>> permission;
  private final Executor threads;
  private final Outlet outlet;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private int heldBytes;
  private @Nullable Runnable heldEnd;
  private boolean asked;
  private boolean open;
  private boolean refused;

  /**
   * Creates a closed gate.
   *
   * @param permission asks whether the first event may be passed on; called once
   * @param threads runs what was held
   */
  EventGate(Supplier<CompletableFuture<Boolean>> permission, Executor threads, Outlet outlet) {
    this.permission = permission;
    this.threads = threads;
    this.outlet = outlet;
  }

  /** Returns a gate that holds nothing. */
  static EventGate open(Outlet outlet) {
    EventGate g =
        new EventGate(() -> CompletableFuture.completedFuture(true), Runnable::run, outlet);
    g.asked = true;
    g.open = true;
    return g;
  }

  /** Passes events on as soon as it is permitted. */
  synchronized void pass(byte[] events, @Nullable String lastId) {
    if (!asked) {
      ask();
    }
    if (open) {
      outlet.pass(events, lastId);
    } else if (!refused) {
      heldBytes += events.length;
      held.add(() -> outlet.pass(events, lastId));
      if (heldBytes > MAX_HELD_BYTES) {
        threads.execute(() -> settle(false));
      }
    }
  }

  /** Runs the end of the stream after all events that are held. */
  void end(Runnable end) {
    synchronized (this) {
      if (asked && !open && !refused) {
        heldEnd = end;
        return;
      }
    }
    end.run();
  }

  synchronized boolean isRefused() {
    return refused;
  }

  private void ask() {
    asked = true;
    CompletableFuture<Boolean> answer = permission.get().exceptionally(e -> false);
    if (answer.getNow(false)) {
      open = true;
    } else {
      var unused = answer.thenAcceptAsync(this::settle, threads);
    }
  }

  private void settle(boolean permitted) {
    Runnable end;
    synchronized (this) {
      if (open || refused) {
        return;
      }
      if (permitted) {
        held.forEach(Runnable::run);
      }
      held.clear();
      open = permitted;
      refused = !permitted;
      end = heldEnd;
    }
    if (!permitted) {
      outlet.refuse();
    }
    if (end != null) {
      end.run();
    }
  }
}

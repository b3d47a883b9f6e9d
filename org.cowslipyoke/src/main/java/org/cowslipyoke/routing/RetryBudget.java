package org.cowslipyoke.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipyoke.util.Clock;

/**
 * Limits the retries of one entry to a share of its requests plus a constant, so that retries do
 * not multiply the load of servers that already refuse work.
 */
public final class RetryBudget {

  /** Requests counted for the share are those of the current and the previous window. */
  public static final long WINDOW_MS = 10_000;

  /** Retries in each window that need no requests. */
  public static final int CONSTANT = 10;

  /** Requests that earn one retry (10 %). */
  public static final int REQUESTS_PER_RETRY = 10;

  private record Window(long startMs, long requests, long before, long retries) {}

  private final Clock clock;
  private final int requestsPerRetry;
  private final int constant;
  private final AtomicReference<Window> window;

  /** Creates the budget of an entry. */
  public RetryBudget(Clock clock) {
    this(clock, REQUESTS_PER_RETRY, CONSTANT);
  }

  RetryBudget(Clock clock, int requestsPerRetry, int constant) {
    this.clock = clock;
    this.requestsPerRetry = requestsPerRetry;
    this.constant = constant;
    this.window = new AtomicReference<>(new Window(clock.nowMs(), 0, 0, 0));
  }

  /** Counts a request. */
  public void onRequest() {
    while (true) {
      Window w = current();
      Window n = new Window(w.startMs(), w.requests() + 1, w.before(), w.retries());
      if (window.compareAndSet(w, n)) {
        return;
      }
    }
  }

  /** Takes one retry from the budget; returns false if it is used up. */
  public boolean tryRetry() {
    while (true) {
      Window w = current();
      long allowed = constant + Math.max(w.requests(), w.before()) / requestsPerRetry;
      if (w.retries() >= allowed) {
        return false;
      }
      Window n = new Window(w.startMs(), w.requests(), w.before(), w.retries() + 1);
      if (window.compareAndSet(w, n)) {
        return true;
      }
    }
  }

  /** Returns the window in force; starts a new one when the old one has ended. */
  private Window current() {
    while (true) {
      Window w = Objects.requireNonNull(window.get());
      long now = clock.nowMs();
      long age = now - w.startMs();
      if (age < WINDOW_MS) {
        return w;
      }
      long before = age < 2 * WINDOW_MS ? w.requests() : 0;
      Window n = new Window(now, 0, before, 0);
      if (window.compareAndSet(w, n)) {
        return n;
      }
    }
  }
}

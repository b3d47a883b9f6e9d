package org.cowslipyoke.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipyoke.util.Clock;

/**
 * Limits the retries of one entry to a share of its requests plus a constant, so that retries do
 * not multiply the load on servers that already refuse work. Thread-safe.
 */
public final class RetryBudget {

  /**
   * Length of a window in milliseconds. The share is taken of the requests in the current or the
   * previous window, whichever has more.
   */
  public static final long WINDOW_MS = 10_000;

  /** Number of retries that are permitted in each window independently of requests. */
  public static final int BASE_RETRIES = 10;

  /** Number of requests for each further retry (10 %). */
  public static final int REQUESTS_PER_RETRY = 10;

  private record Window(long startMs, long requests, long previousRequests, long retries) {}

  private final Clock clock;
  private final int requestsPerRetry;
  private final int baseRetries;
  private final AtomicReference<Window> window;

  /** Creates the budget of an entry. */
  public RetryBudget(Clock clock) {
    this(clock, REQUESTS_PER_RETRY, BASE_RETRIES);
  }

  RetryBudget(Clock clock, int requestsPerRetry, int baseRetries) {
    this.clock = clock;
    this.requestsPerRetry = requestsPerRetry;
    this.baseRetries = baseRetries;
    this.window = new AtomicReference<>(new Window(clock.nowMs(), 0, 0, 0));
  }

  /** Counts a request. */
  public void onRequest() {
    while (true) {
      Window w = currentWindow();
      Window n = new Window(w.startMs(), w.requests() + 1, w.previousRequests(), w.retries());
      if (window.compareAndSet(w, n)) {
        return;
      }
    }
  }

  /** Takes one retry from the budget; returns false if it is used up. */
  public boolean tryRetry() {
    while (true) {
      Window w = currentWindow();
      long allowed = baseRetries + Math.max(w.requests(), w.previousRequests()) / requestsPerRetry;
      if (w.retries() >= allowed) {
        return false;
      }
      Window n = new Window(w.startMs(), w.requests(), w.previousRequests(), w.retries() + 1);
      if (window.compareAndSet(w, n)) {
        return true;
      }
    }
  }

  /** Returns the current window; starts a new one if the old one has ended. */
  private Window currentWindow() {
    while (true) {
      Window w = Objects.requireNonNull(window.get());
      long now = clock.nowMs();
      long age = now - w.startMs();
      if (age < WINDOW_MS) {
        return w;
      }
      long previousRequests = age < 2 * WINDOW_MS ? w.requests() : 0;
      Window n = new Window(now, 0, previousRequests, 0);
      if (window.compareAndSet(w, n)) {
        return n;
      }
    }
  }
}

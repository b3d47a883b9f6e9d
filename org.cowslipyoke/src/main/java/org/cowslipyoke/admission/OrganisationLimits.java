package org.cowslipyoke.admission;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.util.Clock;

/**
 * Limits the request rate and the concurrent requests of each organisation at one entry. The
 * configured limits are for all entries together; each entry applies an equal share of them, at
 * least 1, so that no entry refuses all requests of an organisation.
 */
public final class OrganisationLimits {

  /** Size of the token bucket, in seconds of the rate. */
  private static final double BURST_SECONDS = 1;

  /** Permission for one admitted request, which counts as running until the permit is released. */
  public static final class Permit {

    private final AtomicInteger running;
    private final AtomicBoolean released = new AtomicBoolean();

    private Permit(AtomicInteger running) {
      this.running = running;
    }

    /** Ends the request for the limit of concurrent requests; further calls have no effect. */
    public void release() {
      if (released.compareAndSet(false, true)) {
        running.decrementAndGet();
      }
    }
  }

  private record Bucket(double tokens, long atMs) {}

  private static final class State {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicReference<Bucket> bucket;

    State(double tokens, long nowMs) {
      bucket = new AtomicReference<>(new Bucket(tokens, nowMs));
    }
  }

  private final Clock clock;
  private final Map<String, State> states = new ConcurrentHashMap<>();

  /** Creates limits with no request running. */
  public OrganisationLimits(Clock clock) {
    this.clock = clock;
  }

  /**
   * Admits a request.
   *
   * @param liveEntries entries that share the limits
   * @return the permit, or a failure of kind {@code RATE_LIMITED} with the time to wait
   */
  public Either<Failure, Permit> admit(Organisation organisation, int liveEntries) {
    double rate = Math.max(1, organisation.requestsPerSecond() / liveEntries);
    int maxRunning = Math.max(1, organisation.maxConcurrent() / liveEntries);
    double burst = Math.max(1, rate * BURST_SECONDS);
    State s = states.computeIfAbsent(organisation.name(), n -> new State(burst, clock.nowMs()));
    if (s.running.incrementAndGet() > maxRunning) {
      s.running.decrementAndGet();
      return Either.left(
          new Failure(ErrorKind.RATE_LIMITED, "too many requests at the same time", 1_000));
    }
    long waitMs = takeToken(s.bucket, rate, burst);
    if (waitMs > 0) {
      s.running.decrementAndGet();
      return Either.left(new Failure(ErrorKind.RATE_LIMITED, "too many requests", waitMs));
    }
    return Either.right(new Permit(s.running));
  }

  /**
   * Removes the state of all other organisations that have no running request.
   *
   * @param organisations names of the organisations in the configuration
   */
  public void retain(Set<String> organisations) {
    states
        .entrySet()
        .removeIf(e -> !organisations.contains(e.getKey()) && e.getValue().running.get() == 0);
  }

  /** Takes a token; returns 0, or the milliseconds until one is available. */
  private long takeToken(AtomicReference<Bucket> bucket, double rate, double burst) {
    while (true) {
      Bucket b = Objects.requireNonNull(bucket.get());
      long now = Math.max(b.atMs(), clock.nowMs());
      double tokens = Math.min(burst, b.tokens() + (now - b.atMs()) * rate / 1_000);
      if (tokens < 1) {
        return (long) Math.ceil((1 - tokens) * 1_000 / rate);
      }
      if (bucket.compareAndSet(b, new Bucket(tokens - 1, now))) {
        return 0;
      }
    }
  }
}

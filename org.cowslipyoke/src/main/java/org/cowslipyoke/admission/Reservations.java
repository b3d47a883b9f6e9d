package org.cowslipyoke.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cowslipyoke.util.Clock;

/**
 * Short-lived reservations of capacity that are made with offers. Reserved capacity counts as used,
 * so that entries that probe at the same time cannot together overload the server. Not thread-safe.
 */
public final class Reservations {

  /** Lifetime of a reservation in milliseconds. */
  public static final long TTL_MS = 2_000;

  /**
   * A reservation.
   *
   * @param request the probed request
   * @param weightVersion version that was offered
   * @param prefillTokens prompt tokens that the engine will compute
   */
  public record Reservation(
      long id, AdmissionRequest request, String weightVersion, int prefillTokens, long expiresMs) {}

  private final Clock clock;
  private final Map<Long, Reservation> byId = new LinkedHashMap<>();
  private long nextId;

  /**
   * Creates an empty set.
   *
   * @param random source of the first id. Ids start at a random number, so that those of an earlier
   *     process are not valid in this one
   */
  public Reservations(Clock clock, RandomGenerator random) {
    this.clock = clock;
    this.nextId = 1 + (random.nextLong() & (Long.MAX_VALUE >> 1));
  }

  /** Makes a reservation. */
  public Reservation reserve(AdmissionRequest request, String weightVersion, int prefillTokens) {
    long expires = clock.nowMs() + TTL_MS;
    Reservation r = new Reservation(nextId++, request, weightVersion, prefillTokens, expires);
    byId.put(r.id(), r);
    return r;
  }

  /**
   * Removes and returns a reservation; empty if it is unknown, has expired, or belongs to another
   * request.
   */
  public Optional<Reservation> take(long id, AdmissionRequest request) {
    expire();
    Reservation r = byId.get(id);
    if (r == null || !r.request().isSameRequest(request)) {
      return Optional.empty();
    }
    byId.remove(id);
    return Optional.of(r);
  }

  /** Releases a reservation; returns false if it does not exist. */
  public boolean release(long id) {
    return byId.remove(id) != null;
  }

  /** Returns the number of valid reservations. */
  public int count() {
    expire();
    return byId.size();
  }

  /** Returns the requests with a valid reservation. */
  public Stream<AdmissionRequest> requests() {
    expire();
    return byId.values().stream().map(Reservation::request);
  }

  /** Removes all reservations. */
  public void clear() {
    byId.clear();
  }

  /** Removes expired reservations. */
  private void expire() {
    long now = clock.nowMs();
    byId.values().removeIf(r -> r.expiresMs() <= now);
  }
}

package org.cowslipyoke.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cowslipyoke.util.Clock;

/**
 * Short promises of capacity given with offers. They count as taken, so that entries that probe at
 * the same time cannot overrun the server together. Not thread-safe.
 */
public final class Reservations {

  /** Life time of a reservation in milliseconds. */
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
  private final Map<Long, Reservation> held = new LinkedHashMap<>();
  private long nextId;

  /**
   * Creates an empty set.
   *
   * @param random source of the first id. Ids of an earlier process must not be valid here, so the
   *     numbering starts at a random place.
   */
  public Reservations(Clock clock, RandomGenerator random) {
    this.clock = clock;
    this.nextId = 1 + (random.nextLong() & (Long.MAX_VALUE >> 1));
  }

  /** Makes a reservation. */
  public Reservation reserve(AdmissionRequest request, String weightVersion, int prefillTokens) {
    long expires = clock.nowMs() + TTL_MS;
    Reservation r = new Reservation(nextId++, request, weightVersion, prefillTokens, expires);
    held.put(r.id(), r);
    return r;
  }

  /**
   * Uses a reservation up. Empty if it is not known, has expired, or belongs to another request.
   */
  public Optional<Reservation> take(long id, AdmissionRequest request) {
    expire();
    Reservation r = held.get(id);
    if (r == null || !r.request().isSameRequest(request)) {
      return Optional.empty();
    }
    held.remove(id);
    return Optional.of(r);
  }

  /** Gives a reservation back. */
  public boolean release(long id) {
    return held.remove(id) != null;
  }

  /** Returns the number of valid reservations. */
  public int count() {
    expire();
    return held.size();
  }

  /** Returns the requests with a valid reservation. */
  public Stream<AdmissionRequest> requests() {
    expire();
    return held.values().stream().map(Reservation::request);
  }

  /** Drops all reservations. */
  public void clear() {
    held.clear();
  }

  /** All have the same life time, so the oldest come first. */
  private void expire() {
    long now = clock.nowMs();
    held.values().removeIf(r -> r.expiresMs() <= now);
  }
}

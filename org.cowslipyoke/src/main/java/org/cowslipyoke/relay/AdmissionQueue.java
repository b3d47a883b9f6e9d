package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Bounded queue of requests that wait at an entry for room at a server. The order is by rank of
 * urgency; within a rank, requests that can still be in time come before late ones, and then the
 * earlier deadline first. Small requests overtake larger ones that find no room, which they delay
 * little. Thread-safe.
 *
 * @param <T> type of the waiting requests
 */
public final class AdmissionQueue<T> {

  /** Result of an attempt to start a waiting request. */
  public enum Attempt {
    /** It was started or refused and leaves the queue. */
    SETTLED,
    /** It waits for room; those after it in the same service wait too, except much smaller ones. */
    NO_ROOM,
    /** It waits, and so do those after it of the same organisation; others may start. */
    ORGANISATION_WAITS
  }

  /**
   * Place of a request in the order.
   *
   * @param rank {@link UrgencyRank} of the request
   * @param objectiveMs time until which its first event is in time, in monotonic milliseconds
   * @param deadlineMs deadline in monotonic milliseconds
   * @param bytes memory that it holds while it waits
   * @param small whether it may overtake larger ones that find no room
   */
  public record Position(
      String service,
      int rank,
      @Nullable String organisation,
      long objectiveMs,
      long deadlineMs,
      long bytes,
      boolean small) {}

  private record Held(String service, int rank, @Nullable String organisation) {}

  private record Entry<T>(T value, Position position, long number) {}

  private final Clock clock;
  private final int maxEntries;
  private final long maxBytes;
  private final List<Entry<T>> entries = new ArrayList<>();
  private long bytes;
  private long added;

  /** Creates an empty queue with bounds. */
  public AdmissionQueue(Clock clock, int maxEntries, long maxBytes) {
    this.clock = clock;
    this.maxEntries = maxEntries;
    this.maxBytes = maxBytes;
  }

  /**
   * Adds a request. One organisation may hold half of the queue.
   *
   * @return the request that finds no place: the last in the order, which may be the added one;
   *     empty if there is room
   */
  public synchronized Optional<T> offer(T value, Position p) {
    long own =
        entries.stream()
            .filter(e -> Objects.equals(e.position().organisation(), p.organisation()))
            .count();
    if (p.organisation() != null && own >= Math.max(1, maxEntries / 2)) {
      return Optional.of(value);
    }
    entries.add(new Entry<>(value, p, added++));
    bytes += p.bytes();
    if (entries.size() <= maxEntries && bytes <= maxBytes) {
      return Optional.empty();
    }
    Entry<T> last = entries.stream().max(entryOrder()).orElseThrow();
    removeEntry(last);
    return Optional.of(last.value());
  }

  /** Removes a request; returns false if it doesn't wait. */
  public synchronized boolean remove(T value) {
    Optional<Entry<T>> found = entries.stream().filter(e -> e.value() == value).findAny();
    found.ifPresent(this::removeEntry);
    return found.isPresent();
  }

  private void removeEntry(Entry<T> e) {
    if (entries.remove(e)) {
      bytes -= e.position().bytes();
    }
  }

  /** Returns whether requests wait that another one may not overtake. */
  public synchronized boolean hasAhead(Position p) {
    Comparator<Position> order = order();
    return entries.stream()
        .map(Entry::position)
        .filter(e -> e.service().equals(p.service()) && (e.small() || !p.small()))
        .anyMatch(e -> order.compare(e, p) <= 0);
  }

  /** Returns the number of waiting requests. */
  public synchronized int size() {
    return entries.size();
  }

  /**
   * Tries to start the waiting requests in their order.
   *
   * @param start called without a lock; must not wait
   */
  public void startAll(Function<T, Attempt> start) {
    List<Entry<T>> waiting;
    synchronized (this) {
      waiting = entries.stream().sorted(entryOrder()).toList();
    }
    Set<String> full = new HashSet<>();
    Set<String> fullForLarge = new HashSet<>();
    Set<Held> held = new HashSet<>();
    for (Entry<T> e : waiting) {
      Position p = e.position();
      Held group = new Held(p.service(), p.rank(), p.organisation());
      boolean isFull = full.contains(p.service());
      isFull |= !p.small() && fullForLarge.contains(p.service());
      if (isFull || held.contains(group)) {
        continue;
      }
      switch (start.apply(e.value())) {
        case SETTLED -> remove(e.value());
        case NO_ROOM -> (p.small() ? full : fullForLarge).add(p.service());
        case ORGANISATION_WAITS -> held.add(group);
        default -> throw new IllegalStateException("unknown result");
      }
    }
  }

  private Comparator<Entry<T>> entryOrder() {
    return Comparator.<Entry<T>, Position>comparing(Entry::position, order())
        .thenComparingLong(Entry::number);
  }

  private Comparator<Position> order() {
    long now = clock.nowMs();
    return Comparator.comparingInt(Position::rank)
        .thenComparing(p -> now > p.objectiveMs())
        .thenComparingLong(Position::deadlineMs);
  }
}

package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Decides which connection of a listener is closed when there are too many, so that clients that
 * keep connections open can't keep out others.
 *
 * <p>A new connection above the bound closes, in this order: the one that has waited longest for a
 * request, unless it is so new that its request may be on its way; one whose request has stalled;
 * the one whose incomplete request makes the least progress; the one that has waited longest.
 *
 * @param <C> type of connections
 */
public final class ConnectionSlots<C> {

  /** Frees connections that have a request in progress; each method returns whether it did. */
  public interface Requests {

    /** Closes the connection whose caller has paused for longest. */
    boolean evictStalled();

    /** Closes the connection with the slowest incomplete request. */
    boolean evictSlowestRequest();

    /** Frees none. */
    static Requests none() {
      return new Requests() {
        @Override
        public boolean evictStalled() {
          return false;
        }

        @Override
        public boolean evictSlowestRequest() {
          return false;
        }
      };
    }
  }

  /**
   * Bounds of a listener.
   *
   * @param total maximum number of open connections
   * @param perAddress maximum number of open connections of one remote address
   */
  public record Bounds(int total, int perAddress) {

    /** Returns bounds without one for each address. */
    public static Bounds of(int total) {
      return new Bounds(total, Integer.MAX_VALUE);
    }
  }

  /**
   * Time within which the request of a new connection arrives, in milliseconds; callers that keep
   * connections send the first one at once.
   */
  static final long NEW_MS = 100;

  /**
   * Fraction of the connections that may wait for a request while others are receiving one. Without
   * it, connections that send nothing would close those of uploads.
   */
  private static final double NEW_FRACTION = 1.0 / 8;

  private record Open(String address, int requests) {}

  private record Waiting(String address, long sinceMs) {}

  private final Clock clock;
  private final Bounds bounds;
  private final Requests requests;
  private final Map<C, Open> open = new HashMap<>();
  private final Map<String, Integer> byAddress = new HashMap<>();

  /** Connections without a request in progress, the longest waiting first. */
  private final Map<C, Waiting> waiting = new LinkedHashMap<>();

  /** Creates the state of a listener without connections. */
  public ConnectionSlots(Clock clock, Bounds bounds, Requests requests) {
    this.clock = clock;
    this.bounds = bounds;
    this.requests = requests;
  }

  /**
   * Records a new connection; may evict a request.
   *
   * @return the connection that has to be closed, which may be the new one
   */
  public Optional<C> opened(C c, String address) {
    synchronized (this) {
      open.put(c, new Open(address, 0));
      waiting.put(c, new Waiting(address, clock.nowMs()));
      boolean tooMany = byAddress.merge(address, 1, Integer::sum) > bounds.perAddress();
      if (tooMany) {
        return take(w -> w.address().equals(address));
      }
      if (open.size() <= bounds.total()) {
        return Optional.empty();
      }
      boolean reserveUsed = waiting.size() - 1 > bounds.total() * NEW_FRACTION;
      long newMs = clock.nowMs() - NEW_MS;
      Optional<C> longest = take(w -> reserveUsed || w.sinceMs() < newMs);
      if (longest.isPresent()) {
        return longest;
      }
    }
    if (requests.evictStalled() || requests.evictSlowestRequest()) {
      return Optional.empty();
    }
    return take(w -> true);
  }

  private synchronized Optional<C> take(Predicate<Waiting> of) {
    Optional<C> first =
        waiting.entrySet().stream()
            .filter(e -> of.test(e.getValue()))
            .findFirst()
            .map(Map.Entry::getKey);
    first.ifPresent(waiting::remove);
    return first;
  }

  /** Removes a connection that was closed. */
  public synchronized void closed(C c) {
    waiting.remove(c);
    Open o = open.remove(c);
    if (o != null) {
      byAddress.computeIfPresent(o.address(), (a, n) -> n > 1 ? n - 1 : null);
    }
  }

  /** Records that a connection has a request in progress, so that it is not closed. */
  public synchronized void requestBegun(C c) {
    waiting.remove(c);
    open.computeIfPresent(c, (k, o) -> new Open(o.address(), o.requests() + 1));
  }

  /** Records the end of a request; the next one may have begun before. */
  public synchronized void requestEnded(C c) {
    @Nullable Open o = open.computeIfPresent(c, (k, b) -> new Open(b.address(), b.requests() - 1));
    if (o != null && o.requests() <= 0) {
      waiting.put(c, new Waiting(o.address(), clock.nowMs()));
    }
  }

  /** Returns the number of open connections. */
  public synchronized int open() {
    return open.size();
  }

  /** Returns the connections without a request in progress. */
  public synchronized List<C> waiting() {
    return List.copyOf(waiting.keySet());
  }
}

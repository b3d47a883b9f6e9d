package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Budget of the bytes that a process holds for its callers: large request heads, request bodies and
 * responses that are not read yet. Bytes are acquired before they are read or buffered.
 *
 * <p>A part of the budget is reserved for small holdings, so that large ones can't keep out
 * ordinary requests. When the budget is used up, holdings whose caller has stalled are evicted, the
 * largest first. A holding that makes progress is only evicted within the reserve, for a much
 * smaller one, or for its connection.
 */
public final class CallerMemory implements ConnectionSlots.Requests {

  /** Maximum size of a holding that may use the reserve, in bytes. */
  public static final long SMALL_BYTES = 64 << 10;

  /** Fraction of the budget that holdings above {@link #SMALL_BYTES} may use. */
  private static final double LARGE_FRACTION = 0.75;

  /**
   * Factor by which a holding in the reserve exceeds the one that it may be evicted for, so that
   * requests that grow at the same time do not evict each other in turn.
   */
  private static final long MUCH_LARGER = 4;

  /** Pace below which a caller counts as stalled while the budget is used up, in bytes per ms. */
  private static final long PRESSURE_PACE = 64;

  /** Time that a caller may pause before it counts as stalled, in milliseconds. */
  private static final long PRESSURE_PATIENCE_MS = 1_000;

  /**
   * Time without progress after which a holding may be evicted for its connection, in milliseconds;
   * above the delays of a caller that sends without pause.
   */
  private static final long CONNECTION_PATIENCE_MS = 100;

  /** Pace below which a caller is always evicted, in bytes per ms. */
  private static final long LEAST_PACE = 1;

  /** Why a holding is evicted. */
  public enum Reason {
    /** Other requests need its memory. */
    MEMORY,
    /** Other callers need its connection. */
    CONNECTIONS,
    /** The caller sends or reads below the least pace. */
    PACE
  }

  private final Clock clock;
  private final long bytes;
  private final Consumer<Reason> evicted;
  private final Set<Holding> watched = new LinkedHashSet<>();
  private long used;

  /**
   * Creates a budget.
   *
   * @param bytes size of the budget
   * @param evicted called for each evicted holding
   */
  public CallerMemory(Clock clock, long bytes, Consumer<Reason> evicted) {
    this.clock = clock;
    this.bytes = bytes;
    this.evicted = evicted;
  }

  /** Returns a holding without bytes. */
  public Holding open() {
    return new Holding();
  }

  /** Returns the bytes of all holdings. */
  public synchronized long used() {
    return used;
  }

  /** Returns the size of the budget in bytes. */
  public long size() {
    return bytes;
  }

  /**
   * Evicts the holding whose caller has made no progress for the longest time, to free its
   * connection.
   *
   * @return whether there was one
   */
  @Override
  public boolean evictStalled() {
    long pausedMs = clock.nowMs() + PRESSURE_PATIENCE_MS - CONNECTION_PATIENCE_MS;
    return evictForConnection(h -> h.pressureDueMs < pausedMs);
  }

  /**
   * Evicts the incomplete request whose caller has sent the least for the longest time, however
   * short its pause, to free its connection.
   *
   * @return whether there was one
   */
  @Override
  public boolean evictSlowestRequest() {
    return evictForConnection(h -> h.receiving);
  }

  private boolean evictForConnection(Predicate<Holding> of) {
    Optional<Eviction> e;
    synchronized (this) {
      e =
          watched.stream()
              .filter(of)
              .min(Comparator.comparingLong(h -> h.pressureDueMs))
              .map(h -> h.evict(Reason.CONNECTIONS));
    }
    e.ifPresent(Eviction::run);
    return e.isPresent();
  }

  /**
   * Evicts the holdings whose callers send or read below the least pace.
   *
   * @param patienceMs time that a caller may pause in milliseconds
   */
  public void evictSlow(long patienceMs) {
    List<Eviction> all = new ArrayList<>();
    synchronized (this) {
      long nowMs = clock.nowMs();
      for (Holding h : List.copyOf(watched)) {
        if (nowMs - h.paidMs > patienceMs) {
          all.add(h.evict(Reason.PACE));
        }
      }
    }
    all.forEach(Eviction::run);
  }

  private long bytes(Predicate<Holding> of) {
    return watched.stream().filter(of).mapToLong(h -> h.held).sum();
  }

  private Optional<Holding> largest(Predicate<Holding> of) {
    return watched.stream()
        .filter(of)
        .max(
            Comparator.<Holding>comparingLong(h -> h.held)
                .thenComparing(Comparator.<Holding>comparingLong(h -> h.pressureDueMs).reversed()));
  }

  private final class Eviction {
    private final Consumer<Reason> owner;
    private final Reason reason;

    Eviction(Consumer<Reason> owner, Reason reason) {
      this.owner = owner;
      this.reason = reason;
    }

    void run() {
      evicted.accept(reason);
      owner.accept(reason);
    }
  }

  /** The bytes that one request holds. */
  public final class Holding {

    private long held;
    private boolean closed;
    private boolean receiving;
    private @Nullable Consumer<Reason> owner;
    private long pressureDueMs;

    /** Time up to which the transferred bytes keep the least pace, in milliseconds. */
    private long paidMs;

    private Holding() {}

    /**
     * Acquires bytes, for which it may evict holdings of callers that have stalled, and for a small
     * request also incomplete ones in the reserve that are much larger.
     *
     * @return false if they exceed the budget; none are acquired then
     */
    public boolean tryAcquire(long more) {
      List<Eviction> evictions = new ArrayList<>();
      boolean fits;
      synchronized (CallerMemory.this) {
        fits = !closed && makeRoom(more, evictions);
        if (fits) {
          held += more;
          used += more;
        }
      }
      evictions.forEach(Eviction::run);
      return fits;
    }

    private boolean makeRoom(long more, List<Eviction> evictions) {
      boolean small = held + more <= SMALL_BYTES;
      long missing = used + more - (small ? bytes : Math.round(bytes * LARGE_FRACTION));
      if (missing <= 0) {
        return true;
      }
      long nowMs = clock.nowMs();
      Predicate<Holding> evictable = h -> h != this && h.held > 0 && h.pressureDueMs < nowMs;
      if (small && bytes(evictable) < missing) {
        long leastBytes = MUCH_LARGER * (held + more);
        evictable = evictable.or(h -> h.receiving && h.held >= leastBytes && h.held <= SMALL_BYTES);
      }
      if (bytes(evictable) < missing) {
        return false;
      }
      while (missing > 0) {
        Holding h = largest(evictable).orElseThrow();
        missing -= h.held;
        evictions.add(h.evict(Reason.MEMORY));
      }
      return true;
    }

    /** Releases some of the bytes. */
    public void release(long less) {
      synchronized (CallerMemory.this) {
        long n = Math.min(less, held);
        held -= n;
        used -= n;
      }
    }

    /** Releases all bytes for good. */
    public void close() {
      synchronized (CallerMemory.this) {
        closed = true;
        free();
      }
    }

    /**
     * Makes the holding evictable while its caller has to send or read.
     *
     * @param onEvict called at most once, when the holding was evicted and its bytes released
     */
    public void watch(Consumer<Reason> onEvict) {
      watchFor(onEvict, false);
    }

    /**
     * Makes the holding evictable while its request is incomplete and so has not run.
     *
     * @param onEvict as for {@link #watch}
     */
    public void watchRequest(Consumer<Reason> onEvict) {
      watchFor(onEvict, true);
    }

    private void watchFor(Consumer<Reason> onEvict, boolean incomplete) {
      synchronized (CallerMemory.this) {
        if (!closed) {
          owner = onEvict;
          receiving = incomplete;
          paidMs = clock.nowMs();
          pressureDueMs = paidMs + PRESSURE_PATIENCE_MS;
          watched.add(this);
        }
      }
    }

    /** Ends what {@link #watch} began. */
    public void unwatch() {
      synchronized (CallerMemory.this) {
        owner = null;
        watched.remove(this);
      }
    }

    /** Records bytes that the caller has sent or read. */
    public void transferred(long n) {
      synchronized (CallerMemory.this) {
        long nowMs = clock.nowMs();
        paidMs = Math.min(nowMs, paidMs + n / LEAST_PACE);
        pressureDueMs = Math.min(nowMs + PRESSURE_PATIENCE_MS, pressureDueMs + n / PRESSURE_PACE);
      }
    }

    private Eviction evict(Reason reason) {
      Consumer<Reason> o = owner == null ? r -> {} : owner;
      free();
      return new Eviction(o, reason);
    }

    private void free() {
      used -= held;
      held = 0;
      owner = null;
      watched.remove(this);
    }
  }
}

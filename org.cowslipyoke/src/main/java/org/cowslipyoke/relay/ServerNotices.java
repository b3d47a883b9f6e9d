package org.cowslipyoke.relay;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * What servers state about themselves in their responses: that they are shutting down, or that they
 * want no requests for a while. A server that is leaving or backing off gets no request of this
 * entry: no first attempt, no retry and no stream that goes on elsewhere. After a back-off, load
 * returns gradually. The server list lags behind these statements, so it cannot withdraw them; they
 * hold for the incarnation that made them.
 */
public final class ServerNotices implements CandidateFilter, AttemptObserver {

  /** Longest back-off that is honoured, in milliseconds; longer ones count as this one. */
  public static final long MAX_BACK_OFF_MS = 60_000;

  /** Requests in flight after a back-off at which the server counts as fully available again. */
  static final int FULL_PERMITS = 16;

  /** Time until a response is expected to return a permit, in milliseconds. */
  static final long PERMIT_WAIT_MS = 100;

  /** Part of the remaining back-off by which the retry delays of refused callers are spread. */
  static final double RETRY_SPREAD = 0.25;

  /** Maximum number of incarnations tracked; above the servers of the largest deployment. */
  private static final int MAX_SERVERS = 8_192;

  /**
   * A statement that has changed what this entry does.
   *
   * @param backOffMs time without requests in milliseconds, 0 if the server is leaving
   */
  public record Change(BackendServer server, boolean leaving, long backOffMs) {}

  private static final class State {
    private boolean leaving;
    private long closedUntilMs;

    /** Maximum number of requests in flight after a back-off, 0 for no limit. */
    private int permits;

    private int inFlight;

    State(long nowMs) {
      closedUntilMs = nowMs;
    }
  }

  private final Clock clock;
  private final RandomGenerator random;
  private final Consumer<Change> onChange;
  private final Cache<String, State> states =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();
  private final Cache<String, State> byAddress =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /**
   * Creates an empty record.
   *
   * @param onChange told of each server that starts to leave or to back off
   */
  public ServerNotices(Clock clock, RandomGenerator random, Consumer<Change> onChange) {
    this.clock = clock;
    this.random = random;
    this.onChange = onChange;
  }

  @Override
  public Remaining filter(Placed request, FleetState state, List<BackendServer> candidates) {
    long now = clock.nowMs();
    long soonestMs = Long.MAX_VALUE;
    List<BackendServer> open = new ArrayList<>();
    for (BackendServer s : candidates) {
      State known = states.getIfPresent(s.incarnation());
      long waitMs = known == null ? 0 : waitMs(known, now);
      if (waitMs <= 0) {
        open.add(s);
      }
      soonestMs = Math.min(soonestMs, waitMs);
    }
    boolean known = open.isEmpty() && soonestMs < Long.MAX_VALUE;
    return new Remaining(open, known ? spread(soonestMs) : 0);
  }

  /** Returns the time until a server may get a request, {@link Long#MAX_VALUE} for never. */
  private static long waitMs(State s, long now) {
    synchronized (s) {
      if (s.leaving) {
        return Long.MAX_VALUE;
      }
      if (s.closedUntilMs > now) {
        return s.closedUntilMs - now;
      }
      return s.permits > 0 && s.inFlight >= s.permits ? PERMIT_WAIT_MS : 0;
    }
  }

  private long spread(long ms) {
    return Math.round(ms * (1 + RETRY_SPREAD * random.nextDouble()));
  }

  @Override
  public void started(Attempt a) {
    State s = state(a.server());
    synchronized (s) {
      s.inFlight++;
    }
  }

  @Override
  public void headReceived(Attempt a, ServerNotice notice) {
    record(a.server(), notice);
  }

  /** Records what a server stated in the head of any response to this entry. */
  public void record(BackendServer server, ServerNotice notice) {
    boolean refusal = notice.status() == 503 || notice.status() == 429;
    long backOffMs = refusal ? Math.min(MAX_BACK_OFF_MS, notice.retryAfterMs()) : 0;
    if (!notice.leaving() && backOffMs <= 0) {
      return;
    }
    State s = state(server);
    long untilMs = clock.nowMs() + backOffMs;
    boolean leaves;
    boolean closes;
    synchronized (s) {
      leaves = notice.leaving() && !s.leaving;
      closes = backOffMs > 0 && clock.nowMs() >= s.closedUntilMs;
      s.leaving |= notice.leaving();
      if (backOffMs > 0) {
        s.closedUntilMs = Math.max(s.closedUntilMs, untilMs);
        s.permits = 1;
      }
    }
    byAddress.put(server.address(), s);
    if (leaves || closes) {
      onChange.accept(new Change(server, notice.leaving(), backOffMs));
    }
  }

  @Override
  public void ended(Attempt a, Ended e) {
    State s = state(a.server());
    boolean ran = e.end() == null || e.end() == AttemptEnd.FAILED;
    synchronized (s) {
      s.inFlight = Math.max(0, s.inFlight - 1);
      if (ran && s.permits > 0 && s.closedUntilMs <= clock.nowMs()) {
        s.permits = s.permits * 2 >= FULL_PERMITS ? 0 : s.permits * 2;
      }
    }
  }

  /**
   * Returns the time for which a server wants no calls of this entry, in milliseconds; 0 if it
   * accepts them.
   */
  public long backOffMs(BackendServer server) {
    return remainingMs(states.getIfPresent(server.incarnation()));
  }

  /** Returns the same by the address of the last incarnation that stated anything. */
  public long backOffMs(String address) {
    return remainingMs(byAddress.getIfPresent(address));
  }

  private long remainingMs(@Nullable State s) {
    if (s == null) {
      return 0;
    }
    synchronized (s) {
      return Math.max(0, s.closedUntilMs - clock.nowMs());
    }
  }

  /** Returns the number of servers that have stated that they are leaving. */
  public long leavingCount() {
    return states.asMap().values().stream().filter(ServerNotices::isLeaving).count();
  }

  /** Returns the number of servers that are backing off now. */
  public long backingOffCount() {
    return states.asMap().values().stream().filter(s -> remainingMs(s) > 0).count();
  }

  private static boolean isLeaving(State s) {
    synchronized (s) {
      return s.leaving;
    }
  }

  private State state(BackendServer server) {
    return states.get(server.incarnation(), k -> new State(clock.nowMs()));
  }
}

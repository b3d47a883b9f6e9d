package org.cowslipyoke.ratelimit;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.function.Consumer;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.ServerNotice;
import org.cowslipyoke.util.Clock;

/** The rates that servers have named in their responses to this entry. Thread-safe. */
public final class RateLimits implements AttemptObserver {

  /** Maximum number of incarnations tracked; above the servers of the largest deployment. */
  private static final int MAX_SERVERS = 8_192;

  /**
   * A rate that differs from the one named before.
   *
   * @param rate requests per second, {@link ServerNotice#NO_RATE} if the limit has ended
   */
  public record Change(BackendServer server, double rate) {}

  /** A rate and the time at which a response named it. */
  private record Named(double rate, long atMs) {}

  private final Clock clock;
  private final Consumer<Change> onChange;
  private final Cache<String, Named> named =
      Caffeine.newBuilder().maximumSize(MAX_SERVERS).executor(Runnable::run).build();

  /** Creates a record without limits. */
  public RateLimits(Clock clock, Consumer<Change> onChange) {
    this.clock = clock;
    this.onChange = onChange;
  }

  /** Returns the number of servers with a limit. */
  public long limitedCount() {
    return named.estimatedSize();
  }

  @Override
  public void headReceived(Attempt a, ServerNotice notice) {
    String key = a.server().incarnation();
    Named before = named.getIfPresent(key);
    if (notice.rate() >= 0 && notice.rate() != ServerNotice.NO_RATE) {
      named.put(key, new Named(notice.rate(), clock.nowMs()));
    } else if (notice.rate() == ServerNotice.NO_RATE
        && before != null
        && a.startMs() > before.atMs()) {
      named.invalidate(key);
    } else {
      return;
    }
    if (before == null || before.rate() != notice.rate()) {
      onChange.accept(new Change(a.server(), notice.rate()));
    }
  }
}

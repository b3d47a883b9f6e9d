package org.cowslipyoke.stream;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cowslipyoke.lease.PauseDetector;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.stream.StreamTable.BaselineRow;
import org.cowslipyoke.stream.StreamTable.Baselines;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Decides which new streams need a record of their version, and when the version changes that needs
 * none. Uses no I/O. Thread-safe.
 *
 * <p>A copy of the baselines permits streams without a record for a term, {@link #TERM_MS}, after
 * it was read. A new baseline takes effect only after all terms from before and all streams that
 * were begun under them are over, so that the meaning of a missing record is the same for all
 * entries, also for one that was paused, cut off or restarted.
 */
public final class StreamVersions {

  /**
   * Time after its read for which a copy of the baselines permits streams without a record, in
   * milliseconds.
   */
  public static final long TERM_MS = 10_000;

  /** Time for which a baseline must have had no server before it is replaced, in milliseconds. */
  static final long REPLACE_MS = 5_000;

  /** Delay between the entries that would replace a baseline, in milliseconds. */
  static final long RANK_DELAY_MS = 1_000;

  /**
   * Time added to twice the longest time-out of a route within which callers take up its streams,
   * in milliseconds. It also covers writes that the table applies seconds after the call, and
   * pauses of entries that {@link PauseDetector} does not notice.
   */
  private static final long TAKE_UP_MARGIN_MS = 15_000;

  /**
   * What this process has seen of a service.
   *
   * @param servers number of listed servers by version
   * @param unfitSinceMs monotonic time since which the baseline is missing, of an earlier era or
   *     without a server, negative if it is none of these
   */
  private record Seen(Map<String, Long> servers, long unfitSinceMs) {}

  /**
   * The copy of the baselines.
   *
   * @param confirmedMs monotonic time in milliseconds at which it was current
   * @param pause number of pauses of this process at that time
   */
  private record Copy(Map<String, BaselineRow> rows, long confirmedMs, long pause) {}

  private final Clock clock;
  private final PauseDetector pauses;
  private final Map<String, Seen> seen = new HashMap<>();
  private @Nullable Copy copy;

  /** Creates the state of a process that has read nothing. */
  public StreamVersions(Clock clock, PauseDetector pauses) {
    this.clock = clock;
    this.pauses = pauses;
  }

  /** Returns the time for which callers take up the streams of a service, in milliseconds. */
  public static long takeUpMs(FleetState state, String service) {
    long longest =
        state.desired() == null ? 0 : state.desired().routes().longestResumableMs(service);
    return 2 * longest + TAKE_UP_MARGIN_MS;
  }

  /**
   * Applies the list of servers.
   *
   * @param era newest known era of the table
   */
  public synchronized void observe(FleetState state, long era) {
    Map<String, Map<String, Long>> now =
        state.servers().values().stream()
            .collect(
                Collectors.groupingBy(
                    BackendServer::group,
                    Collectors.groupingBy(BackendServer::software, Collectors.counting())));
    Map<String, Seen> next = new HashMap<>();
    now.forEach(
        (service, servers) ->
            next.put(service, new Seen(servers, unfitSinceMs(service, servers, era))));
    seen.clear();
    seen.putAll(next);
  }

  private long unfitSinceMs(String service, Map<String, Long> servers, long era) {
    StreamBaseline b = baseline(service);
    if (b != null && b.era() == era && servers.containsKey(b.software())) {
      return -1;
    }
    Seen before = seen.get(service);
    return before == null || before.unfitSinceMs() < 0 ? clock.nowMs() : before.unfitSinceMs();
  }

  private @Nullable StreamBaseline baseline(String service) {
    BaselineRow row = copy == null ? null : copy.rows().get(service);
    return row == null ? null : row.baseline();
  }

  /**
   * Replaces the copy of the baselines.
   *
   * @param sentMs monotonic time at which the read was sent, in milliseconds
   * @param pause number of pauses of this process at that time
   */
  public synchronized void update(Baselines b, long sentMs, long pause) {
    copy = new Copy(b.rows(), sentMs, pause);
  }

  /** Records that the copy was current at a monotonic time, in milliseconds. */
  public synchronized void confirm(long atMs) {
    Copy c = copy;
    if (c != null && atMs > c.confirmedMs() && pauses.pauseCount() == c.pause()) {
      copy = new Copy(c.rows(), atMs, c.pause());
    }
  }

  /** Returns whether the copy is recent enough to permit streams without a record. */
  public synchronized boolean isCurrent() {
    Copy c = copy;
    return c != null
        && clock.nowMs() - c.confirmedMs() <= TERM_MS
        && pauses.pauseCount() == c.pause();
  }

  /**
   * Returns whether the first event of a stream may be passed on now without a record.
   *
   * @param tableMs lower bound of the table's clock in milliseconds, negative if it is not known
   * @param era newest known era of the table
   */
  public synchronized boolean mayBeginUnrecorded(
      String service, String software, long tableMs, long era) {
    StreamBaseline b = baseline(service);
    return b != null && isCurrent() && b.permits(software, tableMs, era);
  }

  /**
   * Returns the version of a stream without a record, empty if it is not known.
   *
   * @param fresh baselines that were read after the caller took the stream up
   */
  public static Optional<String> withoutRecord(Baselines fresh, String service) {
    BaselineRow row = fresh.rows().get(service);
    return row == null
        ? Optional.empty()
        : row.baseline().withoutRecord(fresh.nowMs(), fresh.era());
  }

  /** A baseline to write, and the version of the row that it replaces. */
  public record Replacement(StreamBaseline next, long rowVersion) {}

  /**
   * Returns the baseline to write now, empty if the one of the table stays.
   *
   * @param takeUpMs see {@link #takeUpMs}
   * @param tableMs upper bound of the table's clock in milliseconds
   * @param era newest known era of the table
   * @param rank position of this entry in the order in which entries replace a baseline
   */
  public synchronized Optional<Replacement> next(
      String service, long takeUpMs, long tableMs, long era, int rank) {
    Seen s = seen.get(service);
    Copy c = copy;
    if (s == null || c == null || !isCurrent() || s.unfitSinceMs() < 0) {
      return Optional.empty();
    }
    long unfitForMs = clock.nowMs() - s.unfitSinceMs() - rank * RANK_DELAY_MS;
    if (unfitForMs < 0) {
      return Optional.empty();
    }
    final long settledMs = tableMs + TERM_MS + takeUpMs;
    String most = mostFrequent(s.servers());
    BaselineRow row = c.rows().get(service);
    if (row == null) {
      // In a later era the row may have been lost, and streams without a record may run.
      long firstMs = era == 0 ? 0 : settledMs;
      return Optional.of(new Replacement(new StreamBaseline(most, null, firstMs, era), 0));
    }
    StreamBaseline b = row.baseline();
    if (b.era() != era) {
      StreamBaseline unknown = new StreamBaseline(b.software(), null, settledMs, era);
      return Optional.of(new Replacement(unknown, row.rowVersion()));
    }
    boolean gone = !s.servers().containsKey(b.software()) && unfitForMs >= REPLACE_MS;
    if (!gone || tableMs < b.settledMs()) {
      return Optional.empty();
    }
    StreamBaseline next = new StreamBaseline(most, b.software(), settledMs, era);
    return Optional.of(new Replacement(next, row.rowVersion()));
  }

  private static String mostFrequent(Map<String, Long> servers) {
    return servers.entrySet().stream()
        .max(
            Comparator.comparing((Map.Entry<String, Long> e) -> e.getValue())
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }
}

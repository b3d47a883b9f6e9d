package org.cowslipyoke.stream;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.stream.StreamTable.Baselines;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Origins that all entries share through the platform's table. A stream that is taken up is decided
 * on by what was read from the table after that, never by an earlier read, because an entry that
 * was paused or cut off can't tell what it has missed.
 */
public final class StreamLedger implements StreamOrigins {

  /** Maximum number of streams that are remembered; above the target load of an entry. */
  static final int MAX_REMEMBERED = 50_000;

  /** Time for which this process remembers the version of a stream, in milliseconds. */
  private static final long REMEMBER_MS = 180_000;

  /** Retry delay for callers while the table or a record is missing, in milliseconds. */
  private static final long RETRY_AFTER_MS = 500;

  private static final long UNKNOWN_ERA = Long.MIN_VALUE;

  /** Maximum number of attempts to read the table for a stream. */
  private static final int READS = 3;

  /** Age of the list of servers above which it does not tell the only version, in milliseconds. */
  private static final long MAX_LIST_AGE_MS = 1_000;

  /**
   * A stream that this process passes on or has seen, or the attempt that may begin it.
   *
   * @param recorded result of writing its record, null if it has none
   */
  private record Passed(StreamRecord record, @Nullable CompletableFuture<Boolean> recorded) {}

  private final Clock clock;
  private final StreamTable table;
  private final StreamVersions versions;
  private final StreamRecorder recorder;
  private final Supplier<FleetState> state;
  private final Executor readers;
  private final Executor repeats;
  private final Function<BackendServer, CompletableFuture<Boolean>> incarnations;
  private final Cache<String, Passed> streams;
  private long recordedEra = UNKNOWN_ERA;

  /**
   * Creates a ledger without streams.
   *
   * @param readers runs reads of the table; may reject them
   * @param repeats runs repeated reads after a delay; may reject them
   * @param incarnations see {@link #isListedIncarnation}
   */
  public StreamLedger(
      Clock clock,
      StreamTable table,
      StreamVersions versions,
      StreamRecorder recorder,
      Supplier<FleetState> state,
      Executor readers,
      Executor repeats,
      Function<BackendServer, CompletableFuture<Boolean>> incarnations) {
    this.clock = clock;
    this.table = table;
    this.versions = versions;
    this.recorder = recorder;
    this.state = state;
    this.readers = readers;
    this.repeats = repeats;
    this.incarnations = incarnations;
    this.streams =
        Caffeine.newBuilder()
            .maximumSize(MAX_REMEMBERED)
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.nowMs()))
            .expireAfterWrite(REMEMBER_MS, TimeUnit.MILLISECONDS)
            .build();
  }

  @Override
  public CompletableFuture<Either<Failure, String>> find(
      String service, @Nullable String firstRequest) {
    Passed own = firstRequest == null ? null : streams.getIfPresent(firstRequest);
    if (own != null) {
      return CompletableFuture.completedFuture(versionOf(own.record(), service));
    }
    return lookUp(service, firstRequest, READS, readers);
  }

  private static Either<Failure, String> versionOf(StreamRecord r, String service) {
    return r.service().equals(service)
        ? Either.right(r.software())
        : Either.left(unknown("another service began the stream"));
  }

  /** Reads until the table has answered; a caller may have no further attempt. */
  private CompletableFuture<Either<Failure, String>> lookUp(
      String service, @Nullable String firstRequest, int reads, Executor executor) {
    CompletableFuture<Either<Failure, String>> found;
    try {
      found = CompletableFuture.supplyAsync(() -> read(service, firstRequest), executor);
    } catch (RejectedExecutionException e) {
      return CompletableFuture.completedFuture(
          Either.left(unknown("too many streams are taken up at once")));
    }
    return found.thenCompose(
        f ->
            f.isLeft() && isUnavailable(f.getLeft()) && reads > 1
                ? lookUp(service, firstRequest, reads - 1, repeats)
                : CompletableFuture.completedFuture(f.mapLeft(x -> unknown(x.message()))));
  }

  private static boolean isUnavailable(Failure f) {
    return f.kind() != ErrorKind.STREAM_UNKNOWN;
  }

  private Either<Failure, String> read(String service, @Nullable String firstRequest) {
    final long era = table.era();
    if (firstRequest != null) {
      Either<Failure, List<StreamRecord>> records = table.records(firstRequest);
      if (records.isLeft()) {
        return Either.left(records.getLeft());
      }
      Optional<StreamRecord> last =
          records.get().stream().max(Comparator.comparingInt(StreamRecord::attempt));
      if (last.isPresent()) {
        return last.get().era() == table.era()
            ? versionOf(remember(last.get()), service)
            : Either.left(unknown("later records of the stream may be lost"));
      }
    }
    Either<Failure, Baselines> baselines = table.readBaselines();
    if (baselines.isLeft()) {
      return Either.left(baselines.getLeft());
    }
    if (baselines.get().era() != era) {
      return Either.left(unknown("the table has returned from an older copy"));
    }
    Optional<String> version = StreamVersions.withoutRecord(baselines.get(), service);
    if (version.isEmpty()) {
      return Either.left(unknown("the version that began the stream is not known"));
    }
    if (firstRequest == null) {
      return isOnlyVersion(service, version.get())
          ? Either.right(version.get())
          : Either.left(unknown("the request that began the stream is not named"));
    }
    remember(
        new StreamRecord(service, firstRequest, 0, version.get(), baselines.get().nowMs(), era));
    return Either.right(version.get());
  }

  private boolean isOnlyVersion(String service, String version) {
    FleetState s = state.get();
    return clock.nowMs() - s.serversReadMs() <= MAX_LIST_AGE_MS
        && s.versions(service).equals(Set.of(version));
  }

  /** Remembers the version of a stream that another entry began, to record it in later eras. */
  private StreamRecord remember(StreamRecord found) {
    streams
        .asMap()
        .putIfAbsent(found.request(), new Passed(found, CompletableFuture.completedFuture(true)));
    return found;
  }

  private static Failure unknown(String reason) {
    return new Failure(ErrorKind.STREAM_UNKNOWN, reason, RETRY_AFTER_MS);
  }

  @Override
  public Beginning begin(
      String service, String request, int attempt, String software, boolean shared) {
    Passed before = streams.getIfPresent(request);
    boolean superseded = before != null && before.recorded() != null;
    StreamRecord r =
        new StreamRecord(service, request, attempt, software, table.latestMs(), table.era());
    boolean needed = shared || superseded || !mayBeginUnrecorded(service, software);
    Passed p = new Passed(r, needed ? recorder.record(r) : null);
    streams.put(request, p);
    return () -> firstEvent(p);
  }

  private CompletableFuture<Boolean> firstEvent(Passed p) {
    if (p.recorded() != null) {
      return p.recorded();
    }
    StreamRecord r = p.record();
    if (mayBeginUnrecorded(r.service(), r.software())) {
      return CompletableFuture.completedFuture(true);
    }
    CompletableFuture<Boolean> recorded = recorder.record(r);
    streams.put(r.request(), new Passed(r, recorded));
    return recorded;
  }

  @Override
  public void completed(String request) {
    streams.invalidate(request);
  }

  private boolean mayBeginUnrecorded(String service, String software) {
    return versions.mayBeginUnrecorded(service, software, table.earliestMs(), table.era());
  }

  @Override
  public CompletableFuture<Boolean> isListedIncarnation(BackendServer server) {
    return incarnations.apply(server);
  }

  @Override
  public List<BackendServer> permitted(String service, List<BackendServer> candidates) {
    return recorder.isAvailable()
        ? candidates
        : candidates.stream().filter(s -> mayBeginUnrecorded(service, s.software())).toList();
  }

  /**
   * Records the remembered streams again if the table has returned from an older copy, which may
   * lack them. Called periodically.
   */
  public synchronized void checkEra() {
    long era = table.era();
    if (table.earliestMs() < 0) {
      return;
    }
    if (recordedEra != UNKNOWN_ERA && era != recordedEra) {
      long now = table.latestMs();
      streams.asMap().values().forEach(p -> recorder.recordAgain(p.record().at(now, era)));
    }
    recordedEra = era;
  }
}

package org.cowslipyoke.lease;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TableOrder;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.TransactionalTable.Commit;
import org.cowslipyoke.platform.TransactionalTable.Row;
import org.cowslipyoke.platform.TransactionalTable.Write;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Lease that permits its holder to send orders to one backend server, with a fencing number that
 * grows with every acquisition.
 *
 * <p>The row {@code lease/<vm>} holds the number, the token of the acquisition, the wall time at
 * which the term ends and the era in which it was written. The row never expires, because the
 * number must not start again. The lease is acquired when there is an order to send and is not
 * renewed in the background.
 *
 * <p>The fencing number consists of the era of the table and the version that the row had before:
 * only one acquisition can replace a version within an era, and both grow. It does not depend on
 * the content of the row, which a transaction of an earlier era may have replaced. A row of another
 * era tells nothing of the holders before; all of them acquired the lease before the new era began,
 * or by a transaction that was late, and their terms have ended after one term and the margin.
 */
public final class OrderLease {

  /** Term of a lease in milliseconds. */
  public static final long TERM_MS = 10_000;

  /**
   * Time that is added to the term of an earlier holder, in milliseconds. It allows for clocks that
   * run at different speeds, and for an order that the holder sent at the end of its term.
   */
  public static final long MARGIN_MS = 2_000;

  /**
   * Assumed upper bound of the difference between the wall clocks of two VMs, in milliseconds. A
   * new holder need not wait for an earlier term that ended longer ago than this by the wall clock.
   */
  public static final long MAX_CLOCK_SKEW_MS = 60_000;

  /** Maximum number of reads to get a row and the era that it belongs to. */
  private static final int MAX_READS = 3;

  /**
   * Durations of a lease, in milliseconds.
   *
   * @param termMs see {@link #TERM_MS}
   * @param marginMs see {@link #MARGIN_MS}
   * @param maxClockSkewMs see {@link #MAX_CLOCK_SKEW_MS}
   * @param sharedClock whether all holders read the same wall clock, such as that of the table, and
   *     never read a time ahead of it. Then a lease is not taken over before its term has ended,
   *     and the new holder waits until the margin after that end
   */
  public record Terms(long termMs, long marginMs, long maxClockSkewMs, boolean sharedClock) {}

  /**
   * How the lease was acquired, for the log.
   *
   * @param number fencing number
   * @param era era of the table
   * @param version version of the row that was replaced, 0 if there was none
   * @param earlierToken token of the acquisition before, empty if there was none
   * @param waitMs time in milliseconds after the acquisition for which an earlier holder may still
   *     send orders
   */
  public record Acquisition(
      long number, long era, long version, String earlierToken, long waitMs) {}

  /**
   * An acquired lease.
   *
   * @param version version of the row
   * @param endsMs end of the term on the monotonic clock
   * @param endsWallMs end of the term on the wall clock
   * @param earlierEndsMs monotonic time until which the earlier holder may still send orders
   * @param erasEndMs monotonic time until which holders of earlier eras may still act
   * @param erasEndWallMs the same on the wall clock, 0 if there are none
   * @param pauses number of pauses of this process before the acquisition
   */
  private record HeldLease(
      long number,
      long era,
      long version,
      long endsMs,
      long endsWallMs,
      long earlierEndsMs,
      long erasEndMs,
      long erasEndWallMs,
      String token,
      long pauses) {}

  private final TransactionalTable table;
  private final Clock clock;
  private final PauseDetector pauses;
  private final String key;
  private final Supplier<String> tokens;
  private final Terms terms;
  private final LongSupplier latestWallMs;
  private @Nullable HeldLease held;
  private @Nullable Acquisition last;

  /**
   * Creates a lease that is not held.
   *
   * @param vm VM of the backend server
   * @param tokens gives a random token for each acquisition
   */
  public OrderLease(
      TransactionalTable table,
      Clock clock,
      PauseDetector pauses,
      String vm,
      Supplier<String> tokens) {
    this(
        table,
        clock,
        pauses,
        vm,
        tokens,
        new Terms(TERM_MS, MARGIN_MS, MAX_CLOCK_SKEW_MS, false),
        clock::wallMs);
  }

  /**
   * Creates a lease with other durations than the default.
   *
   * @param latestWallMs gives an upper bound of the wall clock, at which the term that others see
   *     begins. A wall clock that is known only from responses of the table may lag by the time
   *     that the responses took
   */
  public OrderLease(
      TransactionalTable table,
      Clock clock,
      PauseDetector pauses,
      String vm,
      Supplier<String> tokens,
      Terms terms,
      LongSupplier latestWallMs) {
    this.terms = terms;
    this.latestWallMs = latestWallMs;
    this.table = table;
    this.clock = clock;
    this.pauses = pauses;
    this.key = "lease/" + vm;
    this.tokens = tokens;
  }

  /** A row as it was in an era of the table. */
  private record Reading(long era, Optional<Row> row, JsonNode value) {

    long version() {
      return row.map(Row::version).orElse(0L);
    }

    /** Returns whether the row was written in the same era, so that its times can be trusted. */
    boolean isOfEra() {
      return row.isPresent() && value.path("era").asLong() == era;
    }
  }

  /**
   * Acquires the lease, unless it is held and at least half of its term remains. Blocks for up to
   * five calls to the table.
   *
   * @return the fencing number; {@code NOT_READY} while the process is paused, {@code
   *     STORE_UNAVAILABLE} if the table is not reached, {@code CONFLICT} if another process was
   *     first
   */
  public synchronized Either<Failure, Long> acquire() {
    if (!pauses.isCurrent()) {
      return Either.left(Failure.of(ErrorKind.NOT_READY, "process was paused"));
    }
    if (held != null && isOfEra(held) && remainingMs(held) > terms.termMs() / 2) {
      return Either.right(held.number());
    }
    return read().flatMap(this::commitAcquisition);
  }

  /**
   * Makes sure that the table has a row of its current era, so that the first order after a return
   * of the table need not wait. Does nothing if it has one.
   *
   * @return the era that has a row; a failure as of {@link #acquire} if it has none
   */
  public synchronized Either<Failure, Long> prepare() {
    return read()
        .flatMap(
            r ->
                r.isOfEra() || r.era() == 0
                    ? Either.right(r.era())
                    : commitAcquisition(r).map(number -> r.era()));
  }

  /**
   * Decides whether an order may be sent now. Must be called immediately before it is sent.
   *
   * @param waitForEarlierTerm whether the term of an earlier holder must have passed, because the
   *     engine ignores the fencing number
   * @param neededMs time in milliseconds that the order may take to arrive
   * @return the fencing number to send, or {@code NOT_READY} with the time after which to try again
   */
  public synchronized Either<Failure, Long> checkOrder(boolean waitForEarlierTerm, long neededMs) {
    HeldLease h = held;
    long endsMs = h == null || !waitForEarlierTerm ? clock.nowMs() : h.earlierEndsMs();
    return check(h, endsMs, neededMs);
  }

  /**
   * Decides whether a conditional write to the table may be sent now. Versions of rows keep the
   * holders of one era apart, but a holder of an earlier era may have read the same version of
   * another row.
   *
   * @param neededMs time in milliseconds that the write may take
   * @return the fencing number, or {@code NOT_READY} with the time after which to try again
   */
  public synchronized Either<Failure, Long> checkCommit(long neededMs) {
    HeldLease h = held;
    return check(h, h == null ? clock.nowMs() : h.erasEndMs(), neededMs);
  }

  private Either<Failure, Long> check(@Nullable HeldLease h, long earlierEndsMs, long neededMs) {
    if (!pauses.isCurrent() || h == null || h.pauses() != pauses.pauseCount()) {
      return notReady("lease is not held", 0);
    }
    if (!isOfEra(h)) {
      return notReady("table has returned from an older copy", 0);
    }
    long wait = earlierEndsMs - clock.nowMs();
    if (wait > 0) {
      return notReady("term of an earlier holder has not passed", wait);
    }
    if (remainingMs(h) < neededMs) {
      return notReady("lease has expired", 0);
    }
    return Either.right(h.number());
  }

  /** Returns how the lease was acquired last, empty if it never was. */
  public synchronized Optional<Acquisition> lastAcquisition() {
    return Optional.ofNullable(last);
  }

  /** Drops the lease without a write to the table, after an engine refused its fencing number. */
  public synchronized void invalidate() {
    held = null;
  }

  /**
   * Ends the lease in the table, so that the next holder need not wait. Does nothing if the lease
   * is not held. If the write fails, the lease ends with its term.
   */
  public synchronized void release() {
    HeldLease h = held;
    held = null;
    if (h != null && isOfEra(h) && remainingMs(h) > 0) {
      String value = value(h.era(), h.token(), h.number(), 0, h.erasEndWallMs());
      var unused = table.commit(List.of(Write.put(key, h.version(), value)));
    }
  }

  /** Reads the row, again if the era changes meanwhile. */
  private Either<Failure, Reading> read() {
    for (int i = 0; i < MAX_READS; i++) {
      long era = table.era();
      Either<Failure, Optional<Row>> row = table.read(key);
      if (row.isLeft()) {
        return Either.left(row.getLeft());
      }
      if (table.era() == era) {
        JsonNode value = RowJson.read(row.get().map(Row::value).orElse("{}"));
        return Either.right(new Reading(era, row.get(), value));
      }
    }
    return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "era of the table changes"));
  }

  private Either<Failure, Long> commitAcquisition(Reading earlier) {
    if (earlier.value().path("era").asLong() > earlier.era()) {
      // The responses to this process do not state the era that those to the holder did.
      return Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "era of the table is not known"));
    }
    long heldMs = earlier.value().path("endsWallMs").asLong() - clock.wallMs();
    if (terms.sharedClock() && earlier.isOfEra() && heldMs > 0 && !isOwn(earlier)) {
      return Either.left(new Failure(ErrorKind.CONFLICT, "another process holds it", heldMs));
    }
    final long number = TableOrder.of(earlier.era(), earlier.version()) + 1;
    final String token = tokens.get();
    final long pausesBefore = pauses.pauseCount();
    // The term begins before the transaction, so it ends for this process before it ends for
    // others.
    final long endsMs = clock.nowMs() + terms.termMs();
    final long endsWallMs = latestWallMs.getAsLong() + terms.termMs();
    final long erasEndWallMs = erasEndWallMs(earlier);
    String value = value(earlier.era(), token, number, endsWallMs, erasEndWallMs);
    Write write = Write.put(key, earlier.version(), value);
    Either<Failure, Boolean> applied = isApplied(table.commit(List.of(write)), token);
    if (applied.isLeft()) {
      return Either.left(applied.getLeft());
    }
    if (!applied.get() || table.era() != earlier.era()) {
      return Either.left(
          new Failure(ErrorKind.CONFLICT, "another process was first", terms.termMs()));
    }
    long earlierEndsMs = earlierEndsMs(earlier);
    held =
        new HeldLease(
            number,
            earlier.era(),
            earlier.version() + 1,
            endsMs,
            endsWallMs,
            earlierEndsMs,
            clock.nowMs() + Math.max(0, erasEndWallMs - clock.wallMs()),
            erasEndWallMs,
            token,
            pausesBefore);
    String earlierToken = earlier.value().path("token").asText();
    long waitMs = Math.max(0, earlierEndsMs - clock.nowMs());
    last = new Acquisition(number, earlier.era(), earlier.version(), earlierToken, waitMs);
    return Either.right(number);
  }

  /**
   * Returns whether the transaction was applied. If its response was lost, the token in the row
   * decides. If the write arrives after that read, a later acquisition finds an unknown token and
   * waits for the end of that term.
   */
  private Either<Failure, Boolean> isApplied(Commit commit, String token) {
    return switch (commit.status()) {
      case COMMITTED -> Either.right(true);
      case CONFLICT -> Either.right(false);
      case NOT_APPLIED ->
          Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "table was not reached"));
      case UNKNOWN ->
          table
              .read(key)
              .map(
                  r ->
                      r.map(x -> RowJson.read(x.value()).path("token").asText().equals(token))
                          .orElse(false));
    };
  }

  /**
   * Returns the monotonic time until which an earlier holder may still send orders. It acquired its
   * lease before the transaction of this one, so its term ends at most one term from now, whatever
   * its clock shows. In a table that states no eras, an absent row means that there was no holder.
   */
  private long earlierEndsMs(Reading earlier) {
    HeldLease h = held;
    if (h != null && isOwn(earlier)) {
      return h.earlierEndsMs();
    }
    long now = clock.nowMs();
    if (!earlier.isOfEra()) {
      return now + (isAfterUnknown(earlier) ? terms.termMs() + terms.marginMs() : 0);
    }
    long endedAgoMs =
        clock.wallMs() - earlier.value().path("endsWallMs").asLong(Long.MAX_VALUE / 2);
    if (endedAgoMs > terms.maxClockSkewMs()) {
      return now;
    }
    long left = terms.sharedClock() ? -endedAgoMs : terms.termMs();
    return now + left + terms.marginMs();
  }

  /**
   * Returns the wall time until which holders of earlier eras may still act, 0 if there are none.
   */
  private long erasEndWallMs(Reading earlier) {
    if (earlier.isOfEra()) {
      return earlier.value().path("erasEndWallMs").asLong();
    }
    return isAfterUnknown(earlier)
        ? latestWallMs.getAsLong() + terms.termMs() + terms.marginMs()
        : 0;
  }

  /** Returns whether there may have been a holder that a row of another era does not tell of. */
  private static boolean isAfterUnknown(Reading earlier) {
    return earlier.row().isPresent() || earlier.era() > 0;
  }

  private boolean isOwn(Reading row) {
    HeldLease h = held;
    return h != null
        && h.era() == row.era()
        && row.value().path("token").asText().equals(h.token());
  }

  private boolean isOfEra(HeldLease h) {
    return h.era() == table.era();
  }

  private long remainingMs(HeldLease h) {
    return Math.min(h.endsMs() - clock.nowMs(), h.endsWallMs() - clock.wallMs());
  }

  private static String value(
      long era, String token, long number, long endsWallMs, long erasEndWallMs) {
    return RowJson.object()
        .put("era", era)
        .put("token", token)
        .put("number", number)
        .put("endsWallMs", endsWallMs)
        .put("erasEndWallMs", erasEndWallMs)
        .toString();
  }

  private static Either<Failure, Long> notReady(String message, long retryAfterMs) {
    return Either.left(new Failure(ErrorKind.NOT_READY, message, retryAfterMs));
  }
}

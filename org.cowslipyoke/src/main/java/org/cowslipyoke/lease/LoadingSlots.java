package org.cowslipyoke.lease;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.TransactionalTable.Row;
import org.cowslipyoke.platform.TransactionalTable.Write;
import org.cowslipyoke.util.Clock;

/**
 * Distributed semaphore that limits how many servers load weights from a store at the same time.
 * Slot {@code n} is the row {@code loading/<store>/<n>} with the wall time at which the term of its
 * holder ends.
 *
 * <p>The rows are never deleted. The version of a deleted row starts again at 1, so a holder that
 * was frozen beyond its term could overwrite the row of the next holder.
 */
public final class LoadingSlots {

  /** Number of slots of a weight store; each load takes longer if more servers load at once. */
  public static final int SLOTS = 2;

  /** Time for which a slot is held without renewal, in milliseconds. */
  public static final long TERM_MS = 30_000;

  /** Assumed upper bound of the difference between the wall clocks of two VMs, in milliseconds. */
  private static final long MAX_CLOCK_SKEW_MS = 2_000;

  /**
   * A slot that is held.
   *
   * @param version version of the row
   * @param endsMs end of the term on the monotonic clock
   */
  public record Slot(String key, String token, long version, long endsMs) {}

  private final TransactionalTable table;
  private final Clock clock;
  private final String vm;
  private final Supplier<String> tokens;

  /**
   * Creates access to the slots for one server.
   *
   * @param vm name of this VM, stored in the row as information for operators
   * @param tokens gives a random token for each acquisition
   */
  public LoadingSlots(TransactionalTable table, Clock clock, String vm, Supplier<String> tokens) {
    this.table = table;
    this.clock = clock;
    this.vm = vm;
    this.tokens = tokens;
  }

  /**
   * Acquires one of the first {@code usable} slots of a store; empty if all are held by others.
   *
   * @return a failure of kind {@code STORE_UNAVAILABLE} if the table is not reached
   */
  public Either<Failure, Optional<Slot>> acquire(String store, int usable) {
    Either<Failure, List<Row>> rows = table.scan("loading/" + store + "/", SLOTS);
    if (rows.isLeft()) {
      return Either.left(rows.getLeft());
    }
    Map<String, Row> known = new HashMap<>();
    rows.get().forEach(r -> known.put(r.key(), r));
    for (int i = 0; i < Math.min(usable, SLOTS); i++) {
      String key = "loading/" + store + "/" + i;
      Row row = known.get(key);
      if (row == null || isFree(row)) {
        long version = row == null ? 0 : row.version();
        Either<Failure, Optional<Slot>> slot = write(key, tokens.get(), version);
        if (slot.isLeft() || slot.get().isPresent()) {
          return slot;
        }
      }
    }
    return Either.right(Optional.empty());
  }

  /**
   * Renews a slot; empty if it was lost to another server.
   *
   * @return a failure of kind {@code STORE_UNAVAILABLE} if the table is not reached
   */
  public Either<Failure, Optional<Slot>> renew(Slot slot) {
    return write(slot.key(), slot.token(), slot.version());
  }

  /** Returns whether the term of the slot has not ended. */
  public boolean isHeld(Slot slot) {
    return clock.nowMs() < slot.endsMs();
  }

  /** Returns whether half of the term of the slot has passed. */
  public boolean needsRenewal(Slot slot) {
    return slot.endsMs() - clock.nowMs() < TERM_MS / 2;
  }

  /** Releases a slot; if the write fails, the slot becomes free at the end of its term. */
  public void release(Slot slot) {
    Write w = Write.put(slot.key(), slot.version(), value(slot.token(), 0));
    var unused = table.commit(List.of(w));
  }

  private Either<Failure, Optional<Slot>> write(String key, String token, long version) {
    final long endsMs = clock.nowMs() + TERM_MS;
    Write w = Write.put(key, version, value(token, clock.wallMs() + TERM_MS));
    Slot slot = new Slot(key, token, version + 1, endsMs);
    return switch (table.commit(List.of(w)).status()) {
      case COMMITTED -> Either.right(Optional.of(slot));
      case CONFLICT -> Either.right(Optional.empty());
      case NOT_APPLIED ->
          Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, "table was not reached"));
      case UNKNOWN -> table.read(key).map(row -> row.filter(r -> isHeldAs(r, slot)).map(r -> slot));
    };
  }

  private boolean isFree(Row row) {
    long ends = RowJson.read(row.value()).path("endsWallMs").asLong();
    return ends == 0 || clock.wallMs() > ends + MAX_CLOCK_SKEW_MS;
  }

  private String value(String token, long endsWallMs) {
    return RowJson.object()
        .put("token", token)
        .put("vm", vm)
        .put("endsWallMs", endsWallMs)
        .toString();
  }

  private static boolean isHeldAs(Row row, Slot slot) {
    return row.version() == slot.version()
        && RowJson.read(row.value()).path("token").asText().equals(slot.token());
  }
}

package org.cowslipyoke.suspect;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.TransactionalTable.CommitStatus;
import org.cowslipyoke.platform.TransactionalTable.Row;
import org.cowslipyoke.platform.TransactionalTable.Write;
import org.cowslipyoke.suspect.SuspectList.Snapshot;
import org.cowslipyoke.util.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Writes crashes and clearances to the row {@code suspects}. Changes are kept in memory while the
 * table is away and count for this process at once.
 */
public final class SuspectListWriter {

  /** Changes kept while the table is away; the oldest is dropped first. */
  public static final int MAX_PENDING = SuspectList.MAX_ENTRIES;

  /** Tokens of the last writes kept in the row, by which a lost answer is recognised. */
  private static final int KEPT_TOKENS = 64;

  private static final int MAX_TRIES = 8;
  private static final ObjectMapper JSON = new ObjectMapper();

  private record Change(String digest, boolean crash, long wallMs) {}

  private record Batch(String token, List<Change> changes) {}

  private record Stored(Snapshot list, List<String> tokens) {}

  private final TransactionalTable table;
  private final SuspectList list;
  private final Clock clock;
  private final Object lock = new Object();
  private final Object writer = new Object();
  private final List<Change> pending = new ArrayList<>();
  private @Nullable Batch inFlight;

  /** Creates a ledger that offers each new version to the list. */
  public SuspectListWriter(TransactionalTable table, SuspectList list, Clock clock) {
    this.table = table;
    this.list = list;
    this.clock = clock;
  }

  /** Counts an engine crash for a digest. Does not block for the table. */
  public void recordCrash(String digest) {
    add(new Change(digest, true, clock.wallMs()));
  }

  /** Removes a digest whose request has finished. Does not block for the table. */
  public void recordClearance(String digest) {
    add(new Change(digest, false, clock.wallMs()));
  }

  /** Returns the number of changes that are not known to be written. */
  public int pending() {
    synchronized (lock) {
      return pending.size();
    }
  }

  /**
   * Writes the pending changes; blocks for the table. Returns whether all are written. Called after
   * each change and from time to time.
   */
  public boolean flush() {
    synchronized (writer) {
      for (int i = 0; i < MAX_TRIES && pending() > 0; i++) {
        Batch b = inFlight;
        if (b == null) {
          b = new Batch(UUID.randomUUID().toString(), copyOfPending());
          inFlight = b;
        }
        Either<Failure, Stored> read = read();
        if (read.isLeft()) {
          return false;
        }
        Optional<Snapshot> written = write(read.get(), b);
        if (written.isPresent()) {
          settle(b, written.get());
          inFlight = null;
        }
      }
      return pending() == 0;
    }
  }

  /** Writes a batch on top of a version; returns the new version if it is in the table. */
  private Optional<Snapshot> write(Stored base, Batch batch) {
    if (base.tokens().contains(batch.token())) {
      return Optional.of(base.list());
    }
    Snapshot next = apply(base.list(), batch.changes());
    ObjectNode json = SuspectListCodec.toTree(next);
    ArrayNode tokens = json.putArray("tokens");
    int from = Math.max(0, base.tokens().size() + 1 - KEPT_TOKENS);
    base.tokens().subList(from, base.tokens().size()).forEach(tokens::add);
    tokens.add(batch.token());
    Write w = Write.put(SuspectListCodec.ROW, base.list().version(), json.toString());
    CommitStatus status = table.commit(List.of(w)).status();
    // After an unknown result the next read finds the token if the write took effect.
    return status == CommitStatus.COMMITTED ? Optional.of(next) : Optional.empty();
  }

  private static Snapshot apply(Snapshot base, List<Change> changes) {
    Snapshot next = base;
    for (Change c : changes) {
      next =
          c.crash() ? next.withCrash(c.digest(), c.wallMs()) : next.without(c.digest(), c.wallMs());
    }
    return new Snapshot(base.version() + 1, next.entries());
  }

  private void settle(Batch batch, Snapshot snapshot) {
    Set<Change> written = Collections.newSetFromMap(new IdentityHashMap<>());
    written.addAll(batch.changes());
    synchronized (lock) {
      pending.removeIf(written::contains);
      // Before the offer: a crash that counts twice for a moment would quarantine its request.
      publishUnwritten();
    }
    list.offer(snapshot);
  }

  private void add(Change change) {
    synchronized (lock) {
      if (pending.size() >= MAX_PENDING) {
        pending.remove(0);
      }
      pending.add(change);
      publishUnwritten();
    }
  }

  private void publishUnwritten() {
    Map<String, Integer> crashes = new HashMap<>();
    for (Change c : pending) {
      if (c.crash()) {
        crashes.merge(c.digest(), 1, Integer::sum);
      } else {
        crashes.remove(c.digest());
      }
    }
    list.setUnwritten(crashes);
  }

  private List<Change> copyOfPending() {
    synchronized (lock) {
      return List.copyOf(pending);
    }
  }

  private Either<Failure, Stored> read() {
    Either<Failure, Optional<Row>> read = table.read(SuspectListCodec.ROW);
    if (read.isLeft()) {
      return Either.left(read.getLeft());
    }
    if (read.get().isEmpty()) {
      return Either.right(new Stored(new Snapshot(0, Map.of()), List.of()));
    }
    Row row = read.get().get();
    return SuspectListCodec.parse(row.version(), row.value())
        .map(s -> new Stored(s, tokens(row.value())));
  }

  private static List<String> tokens(String json) {
    List<String> tokens = new ArrayList<>();
    try {
      for (JsonNode t : JSON.readTree(json).path("tokens")) {
        tokens.add(t.asText());
      }
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the text was parsed before", e);
    }
    return tokens;
  }
}

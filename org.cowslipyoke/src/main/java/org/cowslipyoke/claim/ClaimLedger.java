package org.cowslipyoke.claim;

import io.vavr.control.Either;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.TransactionalTable.Commit;
import org.cowslipyoke.platform.TransactionalTable.Row;
import org.cowslipyoke.platform.TransactionalTable.Write;
import org.cowslipyoke.util.Clock;

/**
 * Reads and writes claims of idempotency keys in the platform's table. Calls block on the table.
 *
 * <p>A claim is granted only after its row is known to be committed with the claimant's token. A
 * lost answer is resolved by reading the row back.
 */
public final class ClaimLedger {

  /** Lifetime of a row in milliseconds, within which a key guarantees at most one execution. */
  public static final long TTL_MS = 24 * 3_600_000L;

  /**
   * Largest answer that is stored in the row itself, in bytes. In base64 it takes 88 KiB of the 256
   * KiB that the table permits for a row.
   */
  public static final int MAX_ROW_ANSWER = 64 * 1024;

  /** Difference between the wall clocks of two VMs that is tolerated at the end of a term. */
  public static final long CLOCK_MARGIN_MS = 1_000;

  private static final int MAX_TRIES = 3;
  private static final int MAX_ORPHANS = 1_000;
  private static final long RETRY_AFTER_MS = 1_000;

  /** Result of recording an answer or the mark "not run". */
  public enum RecordStatus {
    /** The row holds the answer or the mark. */
    RECORDED,
    /** The table or the object store did not confirm the write; the caller may try again. */
    RETRY,
    /** The row belongs to another claim or has expired; trying again has no effect. */
    LOST
  }

  private final TransactionalTable table;
  private final ObjectStore objects;
  private final Clock clock;
  private final Deque<Claim> orphans = new ConcurrentLinkedDeque<>();
  private final AtomicInteger orphanCount = new AtomicInteger();

  /** Creates a ledger over the platform's services. */
  public ClaimLedger(TransactionalTable table, ObjectStore objects, Clock clock) {
    this.table = table;
    this.objects = objects;
    this.clock = clock;
  }

  /**
   * Tries to commit all claims in one transaction. If its response is lost, each claim is committed
   * and decided by itself.
   *
   * @return the decisions in the order of the requests; empty if a row exists already, so that the
   *     caller has to submit each claim by itself
   */
  public Optional<List<ClaimDecision>> claimBatch(List<ClaimRequest> requests) {
    List<Claim> claims = requests.stream().map(r -> newClaim(r, 1)).toList();
    Commit c = table.commit(claims.stream().map(x -> write(x, 0)).toList());
    return switch (c.status()) {
      case COMMITTED -> Optional.of(claims.stream().<ClaimDecision>map(this::granted).toList());
      case NOT_APPLIED -> Optional.of(claims.stream().map(x -> unavailable()).toList());
      case CONFLICT -> Optional.empty();
      case UNKNOWN -> Optional.of(claims.stream().map(this::commitAndResolve).toList());
    };
  }

  /** Commits and decides one claim. */
  public ClaimDecision claim(ClaimRequest request) {
    return commitAndResolve(newClaim(request, 1));
  }

  /** Records the answer of a finished request. */
  public RecordStatus record(Claim claim, byte[] answer) {
    if (answer.length <= MAX_ROW_ANSWER) {
      return replace(claim, ClaimRow.finished(claim, answer, null));
    }
    String object = claim.rowKey() + "/" + claim.token();
    if (objects.put(object, answer).isLeft()) {
      return RecordStatus.RETRY;
    }
    return replace(claim, ClaimRow.finished(claim, null, object));
  }

  /** Marks a claim whose request certainly did not run, so that its key may be claimed again. */
  public RecordStatus recordNotRun(Claim claim) {
    return replace(claim, ClaimRow.notRun(claim));
  }

  /**
   * Marks orphaned claims as not run. These were rejected because the table did not confirm them,
   * but their rows may have been written later. Called periodically.
   */
  public void releaseOrphans() {
    int n = orphanCount.get();
    for (int i = 0; i < n; i++) {
      Claim c = orphans.poll();
      if (c == null) {
        return;
      }
      orphanCount.decrementAndGet();
      if (clock.wallMs() < c.termEndWallMs() && !releaseOrphan(c)) {
        addOrphan(c);
      }
    }
  }

  /** Marks an orphaned claim as not run; returns false if it must be tried again. */
  private boolean releaseOrphan(Claim claim) {
    Either<Failure, Optional<Row>> read = table.read(claim.rowKey());
    if (read.isLeft() || read.get().isEmpty()) {
      return false;
    }
    Row row = read.get().get();
    boolean own = ClaimRow.parse(row.value()).exists(v -> v.token().equals(claim.token()));
    return !own || recordNotRun(withVersion(claim, row.version())) != RecordStatus.RETRY;
  }

  /** Commits a claim; if the result is a conflict or unknown, decides by the row in the table. */
  private ClaimDecision commitAndResolve(Claim first) {
    Claim claim = first;
    for (int i = 0; i < MAX_TRIES; i++) {
      Commit c = table.commit(List.of(write(claim, claim.rowVersion() - 1)));
      if (c.status() == TransactionalTable.CommitStatus.COMMITTED) {
        return granted(claim);
      }
      if (c.status() == TransactionalTable.CommitStatus.NOT_APPLIED) {
        // An earlier commit of this claim may have been applied although this one was not.
        return orphaned(claim);
      }
      Either<Failure, Optional<Row>> read = table.read(claim.rowKey());
      if (read.isLeft()) {
        addOrphan(claim);
        boolean exists = c.status() == TransactionalTable.CommitStatus.CONFLICT;
        return exists ? inProgress(RETRY_AFTER_MS) : unavailable();
      }
      Optional<Row> row = read.get();
      if (row.isPresent()) {
        Either<Failure, ClaimRow> value = ClaimRow.parse(row.get().value());
        if (value.isLeft()) {
          return new ClaimDecision.Rejected(value.getLeft());
        }
        Optional<ClaimDecision> decision = decide(claim, row.get(), value.get());
        if (decision.isPresent()) {
          return decision.get();
        }
      }
      claim = withVersion(claim, row.map(Row::version).orElse(0L) + 1);
    }
    return orphaned(claim);
  }

  /** Returns the decision that follows from an existing row; empty if it may be claimed again. */
  private Optional<ClaimDecision> decide(Claim claim, Row row, ClaimRow value) {
    if (value.token().equals(claim.token())) {
      return Optional.of(granted(withVersion(claim, row.version())));
    }
    if (!value.digest().equals(claim.digest())) {
      String text = "the idempotency key was used for a different request";
      return Optional.of(new ClaimDecision.Rejected(Failure.of(ErrorKind.KEY_REUSED, text)));
    }
    return switch (value.state()) {
      case NOT_RUN -> Optional.empty();
      case FINISHED -> Optional.of(recorded(value));
      case CLAIMED -> {
        long left = value.termEndWallMs() + CLOCK_MARGIN_MS - clock.wallMs();
        String text = "an earlier request with this key did not report its result";
        Failure unknown = Failure.of(ErrorKind.OUTCOME_UNKNOWN, text);
        yield Optional.of(
            left > 0
                ? inProgress(Math.min(left, RETRY_AFTER_MS))
                : new ClaimDecision.Rejected(unknown));
      }
    };
  }

  private ClaimDecision recorded(ClaimRow value) {
    byte[] answer = value.answer();
    if (answer != null) {
      return new ClaimDecision.Recorded(answer);
    }
    String object = value.object();
    if (object == null) {
      return new ClaimDecision.Rejected(
          Failure.of(ErrorKind.INTERNAL, "the claim row has no answer"));
    }
    // The request did run, so a failure to read its answer must not be reported as "not run".
    return objects
        .get(object)
        .fold(
            f -> inProgress(RETRY_AFTER_MS),
            o ->
                o.<ClaimDecision>map(ClaimDecision.Recorded::new)
                    .orElse(inProgress(RETRY_AFTER_MS)));
  }

  private RecordStatus replace(Claim claim, ClaimRow next) {
    Write w = new Write(claim.rowKey(), claim.rowVersion(), Optional.of(next.json()), TTL_MS);
    Commit c = table.commit(List.of(w));
    if (c.status() == TransactionalTable.CommitStatus.COMMITTED) {
      return RecordStatus.RECORDED;
    }
    if (c.status() == TransactionalTable.CommitStatus.NOT_APPLIED) {
      return RecordStatus.RETRY;
    }
    Either<Failure, Optional<Row>> read = table.read(claim.rowKey());
    if (read.isLeft()) {
      return RecordStatus.RETRY;
    }
    Optional<ClaimRow> row = read.get().flatMap(r -> ClaimRow.parse(r.value()).toJavaOptional());
    if (row.isEmpty() || !row.get().token().equals(claim.token())) {
      return RecordStatus.LOST;
    }
    return row.get().state() == next.state() ? RecordStatus.RECORDED : RecordStatus.RETRY;
  }

  private Claim newClaim(ClaimRequest r, long version) {
    String token = UUID.randomUUID().toString();
    long end = clock.wallMs() + r.termMs();
    return new Claim(r.rowKey(), token, r.digest(), end, version);
  }

  private static Claim withVersion(Claim c, long version) {
    return new Claim(c.rowKey(), c.token(), c.digest(), c.termEndWallMs(), version);
  }

  private static Write write(Claim c, long expectedVersion) {
    String value = ClaimRow.claimed(c).json();
    return new Write(c.rowKey(), expectedVersion, Optional.of(value), TTL_MS);
  }

  private ClaimDecision granted(Claim claim) {
    return new ClaimDecision.Granted(claim);
  }

  private ClaimDecision orphaned(Claim claim) {
    addOrphan(claim);
    return unavailable();
  }

  private void addOrphan(Claim claim) {
    if (orphanCount.incrementAndGet() <= MAX_ORPHANS) {
      orphans.add(claim);
    } else {
      orphanCount.decrementAndGet();
    }
  }

  private static ClaimDecision unavailable() {
    return new ClaimDecision.Rejected(
        new Failure(
            ErrorKind.STORE_UNAVAILABLE, "the request could not be claimed", RETRY_AFTER_MS));
  }

  private static ClaimDecision inProgress(long retryAfterMs) {
    String text = "an earlier request with this key has no readable result yet";
    return new ClaimDecision.Rejected(new Failure(ErrorKind.IN_PROGRESS, text, retryAfterMs));
  }
}

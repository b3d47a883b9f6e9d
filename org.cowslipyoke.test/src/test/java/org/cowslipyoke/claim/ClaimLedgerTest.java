package org.cowslipyoke.claim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.cowslipyoke.claim.ClaimDecision.Granted;
import org.cowslipyoke.claim.ClaimDecision.Recorded;
import org.cowslipyoke.claim.ClaimDecision.Rejected;
import org.cowslipyoke.claim.ClaimLedger.RecordStatus;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.platform.ObjectStore;
import org.junit.jupiter.api.Test;

/**
 * Guards against granting a key twice, and against losing a claim or a recorded answer when the
 * table's response to a transaction is lost.
 */
class ClaimLedgerTest {

  private static final ClaimRequest REQUEST = new ClaimRequest("org-a", "k", "d1", 10_000);

  /** Object store in memory, whose reads can be made to fail. */
  private static final class Objects implements ObjectStore {
    private final Map<String, byte[]> objects = new HashMap<>();
    private boolean outage;

    @Override
    public Either<Failure, Boolean> put(String key, byte[] bytes) {
      objects.put(key, bytes);
      return Either.right(true);
    }

    @Override
    public Either<Failure, Optional<byte[]>> get(String key) {
      return outage
          ? Either.left(Failure.of(ErrorKind.STORE_UNAVAILABLE, ""))
          : Either.right(Optional.ofNullable(objects.get(key)));
    }
  }

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final Objects objects = new Objects();
  private final ClaimLedger ledger = new ClaimLedger(table, objects, clock);

  private Claim granted() {
    return assertInstanceOf(Granted.class, ledger.claim(REQUEST)).claim();
  }

  private ErrorKind rejected(ClaimRequest r) {
    return assertInstanceOf(Rejected.class, ledger.claim(r)).failure().kind();
  }

  private byte[] recorded() {
    return assertInstanceOf(Recorded.class, ledger.claim(REQUEST)).answer();
  }

  @Test
  void grantsOnceThenInProgressThenUnknown() {
    granted();
    assertEquals(ErrorKind.IN_PROGRESS, rejected(REQUEST));
    clock.advance(10_000 + ClaimLedger.CLOCK_MARGIN_MS);
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, rejected(REQUEST));
  }

  @Test
  void otherBodyIsRefusedAndOtherOrganisationIsIndependent() {
    granted();
    assertEquals(ErrorKind.KEY_REUSED, rejected(new ClaimRequest("org-a", "k", "d2", 1)));
    assertInstanceOf(Granted.class, ledger.claim(new ClaimRequest("org-b", "k", "d2", 1)));
  }

  @Test
  void replaysSmallAndLargeAnswers() {
    for (int size : new int[] {3, ClaimLedger.MAX_ROW_ANSWER + 1}) {
      clock.advance(ClaimLedger.TTL_MS + 1);
      byte[] answer = new byte[size];
      assertEquals(RecordStatus.RECORDED, ledger.record(granted(), answer));
      assertArrayEquals(answer, recorded());
    }
    objects.outage = true;
    assertEquals(ErrorKind.IN_PROGRESS, rejected(REQUEST), "must not be reported as not run");
  }

  @Test
  void notRunFreesTheKey() {
    Claim c = granted();
    assertEquals(RecordStatus.RECORDED, ledger.recordNotRun(c));
    Claim again = granted();
    assertEquals(RecordStatus.RECORDED, ledger.record(again, "x".getBytes(UTF_8)));
    assertEquals(RecordStatus.LOST, ledger.record(c, "y".getBytes(UTF_8)));
    assertArrayEquals("x".getBytes(UTF_8), recorded());
  }

  @Test
  void lostAnswersAreReadBackByToken() {
    table.loseResponses(1);
    Claim c = granted();
    table.loseResponses(1);
    assertEquals(RecordStatus.RECORDED, ledger.record(c, "x".getBytes(UTF_8)));
    assertArrayEquals("x".getBytes(UTF_8), recorded());
    assertEquals(RecordStatus.RECORDED, ledger.record(c, "x".getBytes(UTF_8)), "repeated record");
  }

  @Test
  void lostAnswerOfReclaimIsReadBack() {
    ledger.recordNotRun(granted());
    table.loseResponses(2);
    Claim c = granted();
    assertEquals(RecordStatus.RECORDED, ledger.record(c, "x".getBytes(UTF_8)));
  }

  @Test
  void lostAnswerOfBatchGrantsEachOnce() {
    table.loseResponses(1);
    ClaimRequest second = new ClaimRequest("org-a", "k2", "d2", 10_000);
    List<ClaimDecision> all = ledger.claimBatch(List.of(REQUEST, second)).orElseThrow();
    assertInstanceOf(Granted.class, all.get(0));
    assertInstanceOf(Granted.class, all.get(1));
    assertEquals(ErrorKind.IN_PROGRESS, rejected(second));
  }

  @Test
  void outageIsNotRunAndGrantsNothing() {
    table.setOutage(true);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, rejected(REQUEST));
    table.setOutage(false);
    ledger.releaseOrphans();
    granted();
  }

  @Test
  void orphanNeverFreesTheClaimOfAnother() {
    table.setOutage(true);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, rejected(REQUEST));
    table.setOutage(false);
    granted();
    ledger.releaseOrphans();
    assertEquals(ErrorKind.IN_PROGRESS, rejected(REQUEST));
  }

  @Test
  void batcherClaimsConflictsSinglyAndFullBatchInOneTransaction() {
    granted();
    Runnable[] timer = new Runnable[1];
    ClaimBatcher b = new ClaimBatcher(ledger, Runnable::run, (task, ms) -> timer[0] = task);
    CompletableFuture<ClaimDecision> known = b.submit(REQUEST);
    CompletableFuture<ClaimDecision> fresh = b.submit(new ClaimRequest("org-a", "k2", "d", 10_000));
    timer[0].run();
    assertInstanceOf(Rejected.class, known.join());
    assertInstanceOf(Granted.class, fresh.join());
    int before = table.commits();
    List<CompletableFuture<ClaimDecision>> full =
        IntStream.range(0, ClaimBatcher.MAX_ROWS)
            .mapToObj(i -> b.submit(new ClaimRequest("org-a", "n" + i, "d", 10_000)))
            .toList();
    assertEquals(before + 1, table.commits(), "a full batch is one transaction");
    full.forEach(f -> assertInstanceOf(Granted.class, f.join()));
  }
}

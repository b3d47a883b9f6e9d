package org.cowslipyoke.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Objects;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.suspect.SuspectList.Status;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are forgotten or counted twice. */
class SuspectLedgerTest {

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final SuspectList list = new SuspectList();
  private final SuspectListWriter ledger = new SuspectListWriter(table, list, clock);

  private Status standing() {
    return list.status("d", clock.wallMs());
  }

  private int crashes() {
    return Objects.requireNonNull(list.current().entries().get("d")).crashes();
  }

  @Test
  void crashCountsAtOnceAndOnceAfterLostAnswer() {
    table.loseAnswers(1);
    ledger.recordCrash("d");
    assertEquals(Status.SUSPECT, standing());
    assertTrue(ledger.flush());
    assertEquals(1, crashes());
    assertEquals(Status.SUSPECT, standing());
  }

  @Test
  void changesWaitForTheTable() {
    table.setOutage(true);
    ledger.recordCrash("d");
    assertFalse(ledger.flush());
    ledger.recordCrash("d");
    assertEquals(Status.QUARANTINED, standing());
    table.setOutage(false);
    assertTrue(ledger.flush());
    assertEquals(2, crashes());
  }

  @Test
  void twoEntriesAddUpAndClearanceRemoves() {
    SuspectList other = new SuspectList();
    SuspectListWriter second = new SuspectListWriter(table, other, clock);
    ledger.recordCrash("d");
    second.recordCrash("d");
    assertTrue(ledger.flush());
    assertTrue(second.flush());
    assertEquals(Status.QUARANTINED, other.status("d", clock.wallMs()));
    second.recordClearance("d");
    assertTrue(second.flush());
    assertEquals(Status.CLEAR, other.status("d", clock.wallMs()));
    assertEquals(3, other.current().version());
  }
}

package org.cowslipyoke.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Objects;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.suspect.SuspectList.Standing;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are forgotten or counted twice. */
class SuspectLedgerTest {

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final SuspectList list = new SuspectList();
  private final SuspectLedger ledger = new SuspectLedger(table, list, clock);

  private Standing standing() {
    return list.standing("d", clock.wallMs());
  }

  private int crashes() {
    return Objects.requireNonNull(list.current().entries().get("d")).crashes();
  }

  @Test
  void crashCountsAtOnceAndOnceAfterLostAnswer() {
    table.loseAnswers(1);
    ledger.crashed("d");
    assertEquals(Standing.SUSPECT, standing());
    assertTrue(ledger.flush());
    assertEquals(1, crashes());
    assertEquals(Standing.SUSPECT, standing());
  }

  @Test
  void changesWaitForTheTable() {
    table.setOutage(true);
    ledger.crashed("d");
    assertFalse(ledger.flush());
    ledger.crashed("d");
    assertEquals(Standing.QUARANTINED, standing());
    table.setOutage(false);
    assertTrue(ledger.flush());
    assertEquals(2, crashes());
  }

  @Test
  void twoEntriesAddUpAndClearanceRemoves() {
    SuspectList other = new SuspectList();
    SuspectLedger second = new SuspectLedger(table, other, clock);
    ledger.crashed("d");
    second.crashed("d");
    assertTrue(ledger.flush());
    assertTrue(second.flush());
    assertEquals(Standing.QUARANTINED, other.standing("d", clock.wallMs()));
    second.cleared("d");
    assertTrue(second.flush());
    assertEquals(Standing.CLEAR, other.standing("d", clock.wallMs()));
    assertEquals(3, other.current().version());
  }
}

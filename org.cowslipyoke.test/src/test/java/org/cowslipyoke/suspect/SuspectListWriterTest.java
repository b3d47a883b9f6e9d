package org.cowslipyoke.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Objects;
import org.cowslipyoke.fake.FakeTable;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.suspect.SuspectList.Status;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are lost or counted twice. */
class SuspectListWriterTest {

  private final ManualClock clock = new ManualClock();
  private final FakeTable table = new FakeTable(clock);
  private final SuspectList list = new SuspectList();
  private final SuspectListWriter writer = new SuspectListWriter(table, list, clock);

  private Status status() {
    return list.status("d", clock.wallMs());
  }

  private int crashes() {
    return Objects.requireNonNull(list.current().entries().get("d")).crashes();
  }

  @Test
  void crashCountsAtOnceAndOnlyOnceAfterLostResponse() {
    table.loseResponses(1);
    writer.recordCrash("d");
    assertEquals(Status.SUSPECT, status());
    assertTrue(writer.flush());
    assertEquals(1, crashes());
    assertEquals(Status.SUSPECT, status());
  }

  @Test
  void changesStayPendingDuringTableOutage() {
    table.setOutage(true);
    writer.recordCrash("d");
    assertFalse(writer.flush());
    writer.recordCrash("d");
    assertEquals(Status.QUARANTINED, status());
    table.setOutage(false);
    assertTrue(writer.flush());
    assertEquals(2, crashes());
  }

  @Test
  void twoEntriesAddUpAndClearanceRemoves() {
    SuspectList other = new SuspectList();
    SuspectListWriter second = new SuspectListWriter(table, other, clock);
    writer.recordCrash("d");
    second.recordCrash("d");
    assertTrue(writer.flush());
    assertTrue(second.flush());
    assertEquals(Status.QUARANTINED, other.status("d", clock.wallMs()));
    second.recordClearance("d");
    assertTrue(second.flush());
    assertEquals(Status.CLEAR, other.status("d", clock.wallMs()));
    assertEquals(3, other.current().version());
  }
}

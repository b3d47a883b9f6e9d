package org.cowslipyoke.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.cowslipyoke.stream.StreamFleet.Event;
import org.junit.jupiter.api.Test;

/** Simulates fleets with random events and callers who take their streams up. */
class StreamLedgerFleetTest {

  private static final int SEEDS = 150;
  private static final long PLAY_MS = 240_000;

  /** Plays the seeds from one on; returns the fleets without faults, fails if others are left. */
  private static List<StreamFleet> play(Set<Event> events, long firstSeed) {
    List<StreamFleet> fleets = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
      StreamFleet fleet = new StreamFleet(seed, List.copyOf(events));
      fleet.play(PLAY_MS);
      if (!fleet.faults.isEmpty()) {
        faults.add(
            "seed %d: %d, first %s".formatted(seed, fleet.faults.size(), fleet.faults.get(0)));
      }
      fleets.add(fleet);
    }
    assertEquals(List.of(), faults);
    return fleets;
  }

  private static void assertShare(double min, int wentOn, int asked) {
    assertTrue(asked > 10_000, asked + " were taken up");
    assertTrue(wentOn >= min * asked, wentOn + " of " + asked + " went on");
  }

  /**
   * Guards against streams that are joined from two versions, or refused at entries in touch while
   * their version serves; the rule LOST asks for half of them.
   */
  @Test
  void streamsGoOnAtTheirVersionInEachOrderOfEvents() {
    List<StreamFleet> fleets = play(EnumSet.complementOf(EnumSet.of(Event.RETURN)), 10_000);
    assertShare(
        0.95,
        fleets.stream().mapToInt(f -> f.wentOn).sum(),
        fleets.stream().mapToInt(f -> f.asked).sum());
  }

  /** Guards against the same after the table has lost records or a baseline. */
  @Test
  void streamsGoOnAtTheirVersionWhenTheTableReturns() {
    List<StreamFleet> fleets = play(EnumSet.allOf(Event.class), 20_000);
    assertShare(
        0.9,
        fleets.stream().mapToInt(f -> f.wentOnAfterReturn).sum(),
        fleets.stream().mapToInt(f -> f.askedAfterReturn).sum());
  }
}

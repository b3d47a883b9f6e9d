package org.cowslipyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.fake.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against limits that are exceeded, that refuse all requests of an organisation, or whose
 * count of running requests drifts.
 */
class OrganisationLimitsTest {

  private final ManualClock clock = new ManualClock();
  private final OrganisationLimits limits = new OrganisationLimits(clock);

  private static Organisation organisation(double rate, int concurrent) {
    return new Organisation("a", List.of(), 1, rate, concurrent, 0);
  }

  private int admitted(Organisation o, int entries) {
    int n = 0;
    while (n < 1_000) {
      var permit = limits.admit(o, entries);
      if (permit.isLeft()) {
        return n;
      }
      permit.get().release();
      n++;
    }
    return n;
  }

  @Test
  void rateIsSharedAmongEntries() {
    assertEquals(5, admitted(organisation(10, 100), 2));
    clock.advance(400);
    assertEquals(2, admitted(organisation(10, 100), 2));
  }

  @Test
  void shareIsAtLeastOne() {
    assertEquals(1, admitted(organisation(1, 1), 400));
    clock.advance(1_000);
    assertEquals(1, admitted(organisation(1, 1), 400));
  }

  @Test
  void permitIsReleasedOnce() {
    Organisation o = organisation(100, 2);
    var first = limits.admit(o, 1).get();
    limits.admit(o, 1).get();
    assertTrue(limits.admit(o, 1).isLeft());
    first.release();
    first.release();
    assertTrue(limits.admit(o, 1).isRight());
    assertTrue(limits.admit(o, 1).isLeft());
    limits.retain(Set.of());
    assertTrue(limits.admit(o, 1).isLeft(), "running requests are not forgotten");
  }
}

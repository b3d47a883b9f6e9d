package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cowslipyoke.errors.Outcome;
import org.junit.jupiter.api.Test;

class LoadShedderTest {

  private static final Route ROUTE = RelayFixture.route(RequestKind.STREAM, true, 2);
  private static final long READ_MS = 100;
  private static final long ARRIVAL_MS = 70;
  private static final int PROMPTS = 400;

  /** Returns the number of prompts whose first event arrives within the objective. */
  private static int inTime(boolean refuse) {
    long freeMs = 0;
    int inTime = 0;
    for (int i = 0; i < PROMPTS; i++) {
      long now = i * ARRIVAL_MS;
      long expected = Math.max(0, freeMs - now) + READ_MS;
      if (refuse && LoadShedder.decide(ROUTE, 0, 5_000, (double) expected).isPresent()) {
        continue;
      }
      freeMs = now + expected;
      inTime += expected <= ROUTE.objectiveMs() ? 1 : 0;
    }
    return inTime;
  }

  /**
   * Guards against overload making every prompt late. Prompts arrive at 1.4 times the rate at which
   * the engine prefills them; at least half of those that the engine could serve must be answered
   * in time.
   */
  @Test
  void admittedPromptsAreInTimeUnderOverload() {
    int possible = (int) (PROMPTS * ARRIVAL_MS / READ_MS);
    int without = inTime(false);
    int with = inTime(true);
    System.out.println("in time: without " + without + ", with " + with + " of " + possible);
    assertTrue(with >= possible / 2, "in time " + with);
    assertTrue(with >= 5 * without, "in time " + with + " against " + without);
  }

  @Test
  void refusalStatesNotRunAndRetryDelay() {
    var refusal = LoadShedder.decide(ROUTE, 0, 5_000, 501).orElseThrow();
    assertEquals(Outcome.NOT_RUN, refusal.outcome());
    assertEquals(501, refusal.retryAfterMs());
    assertTrue(LoadShedder.decide(ROUTE, 0, 5_000, 500).isEmpty());
    assertTrue(LoadShedder.decide(ROUTE, 100, 5_000, 401).isPresent());
    assertTrue(LoadShedder.decide(ROUTE, 0, 100, 200).isPresent());
  }

  /**
   * Requests other than streams are refused only if they can't be answered before their deadline.
   */
  @Test
  void onlyStreamsAreRefusedByTheObjective() {
    Route call = RelayFixture.route(RequestKind.IDEMPOTENT, false, 2);
    assertTrue(LoadShedder.decide(call, 0, 5_000, 4_000).isEmpty());
    assertTrue(LoadShedder.decide(call, 0, 3_000, 4_000).isPresent());
  }
}

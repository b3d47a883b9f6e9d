package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.relay.RequestLifecycle.Phase;
import org.junit.jupiter.api.Test;

/**
 * Tests the transitions of a request in every order. Each transition is one atomic update, so the
 * interleavings of threads are the orders of their transitions.
 */
class RequestLifecycleTest {

  private enum Step {
    SEND,
    RESPOND,
    ATTEMPT_OVER,
    END
  }

  private static final int MAX_STEPS = 8;

  private int orders;

  /** Guards against a request that is sent after "not run", and an error text within a response. */
  @Test
  void invariantsHoldInEveryOrder() {
    play(new ArrayList<>());
    assertEquals((pow(Step.values().length, MAX_STEPS + 1) - 1) / 3, orders);
  }

  private static int pow(int base, int exponent) {
    return exponent == 0 ? 1 : base * pow(base, exponent - 1);
  }

  private void play(List<Step> steps) {
    check(steps);
    orders++;
    if (steps.size() == MAX_STEPS) {
      return;
    }
    for (Step s : Step.values()) {
      List<Step> longer = new ArrayList<>(steps);
      longer.add(s);
      play(longer);
    }
  }

  private static void check(List<Step> steps) {
    RequestLifecycle life = new RequestLifecycle();
    boolean held = false;
    boolean responding = false;
    boolean ended = false;
    for (Step s : steps) {
      String at = steps.toString();
      switch (s) {
        case SEND -> {
          assertEquals(!ended, life.claimSend(), at);
          held |= !ended;
        }
        case RESPOND -> {
          boolean expected = !ended && (held || responding);
          assertEquals(expected, life.claimResponse(), at);
          responding |= expected;
        }
        case ATTEMPT_OVER -> {
          life.recordAttemptOver();
          held = false;
        }
        case END -> {
          Phase expected = responding ? Phase.RESPONDING : held ? Phase.SENT : Phase.UNSENT;
          assertEquals(ended ? Optional.empty() : Optional.of(expected), life.end(), at);
          ended = true;
        }
        default -> throw new IllegalStateException();
      }
      assertEquals(ended, life.isEnded(), at);
    }
  }

  @Test
  void resendingKeepsTheClaim() {
    RequestLifecycle life = new RequestLifecycle();
    assertTrue(life.claimSend());
    assertTrue(life.claimSend());
    assertEquals(Optional.of(Phase.SENT), life.end());
    assertFalse(life.claimSend());
  }
}

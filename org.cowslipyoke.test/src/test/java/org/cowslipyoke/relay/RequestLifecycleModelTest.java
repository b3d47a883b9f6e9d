package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Checks the transitions of a request by several threads over interleavings: their results must be
 * those of some order of the transitions, and {@link RequestLifecycleTest} checks every order. The
 * schedules do not depend on time or the machine; Lincheck's seed is fixed.
 */
class RequestLifecycleModelTest {

  private static final int SCENARIOS = 40;
  private static final int SCHEDULES = 1_000;

  private static ModelCheckingOptions options(int threads) {
    ModelCheckingOptions o = new ModelCheckingOptions();
    // Without steps before: most of them would end the request before the threads start.
    o.iterations(SCENARIOS).invocationsPerIteration(SCHEDULES).actorsBefore(0).actorsAfter(1);
    o.threads(threads).actorsPerThread(3);
    return o;
  }

  /** The transitions as the threads of an exchange call them. */
  public static final class Transitions {
    private final RequestLifecycle life = new RequestLifecycle();

    @Operation
    public boolean claimSend() {
      return life.claimSend();
    }

    @Operation
    public boolean claimResponse() {
      return life.claimResponse();
    }

    @Operation
    public void recordAttemptOver() {
      life.recordAttemptOver();
    }

    @Operation
    public String end() {
      return life.end().map(Enum::name).orElse("");
    }
  }

  /**
   * A request whose sender and timer check the state and then act on it, as both did before the
   * transitions; a response that begins while the timer ends the request has the same form.
   */
  public static final class CheckThenAct {
    private volatile boolean sent;
    private volatile boolean ended;

    @Operation
    public boolean claimSend() {
      if (ended) {
        return false;
      }
      sent = true;
      return true;
    }

    @Operation
    public String end() {
      if (ended) {
        return "";
      }
      boolean wasSent = sent;
      ended = true;
      return wasSent ? "SENT" : "UNSENT";
    }
  }

  /** Guards against a transition that other threads see half done. */
  @Test
  void transitionsAreAtomic() {
    options(3).check(Transitions.class);
  }

  /** Guards against a check that would miss "not run" for a request that is then sent. */
  @Test
  void findsTimerBetweenCheckAndSending() {
    AssertionError e =
        assertThrows(AssertionError.class, () -> options(2).check(CheckThenAct.class));
    assertTrue(String.valueOf(e.getMessage()).contains("claimSend(): true"), e.toString());
  }
}

package org.cowslipyoke.bench;

import java.util.List;
import org.cowslipyoke.bench.Load.Turn;

/** Everybody books at midday and returns after a gap that outlasts the engines' memory. */
final class LunchScenario implements Scenario {

  private static final int CALLERS = 60;
  private static final int HISTORY_BYTES = 20_000;

  /** Holds about a third of the blocks of all conversations on 6 engines. */
  private static final int ENGINE_BLOCKS = 32;

  /** Six engines compute 96,000 tokens a second; a phase without reuse takes 60 % of that. */
  private static final long SPAN_MS = 5000;

  private static final Turn TURN = new Turn(600, 24, "interactive");

  @Override
  public String description() {
    return "everybody at once at midday; conversations return after a gap that outlasts"
        + " engine memory";
  }

  @Override
  public DeploymentSpec spec(String policy) {
    return DeploymentSpec.cooperativa(6, 4, policy, ENGINE_BLOCKS);
  }

  @Override
  public void run(RunContext context) {
    Load load = context.load();
    List<Conversation> midday = load.conversations("midday-", CALLERS, HISTORY_BYTES);
    // The others displace the blocks of the first callers from the engines' memory.
    final List<Conversation> others = load.conversations("other-", CALLERS, HISTORY_BYTES);
    load.everybody(midday, TURN, SPAN_MS);
    load.everybody(others, TURN, SPAN_MS);
    load.everybody(midday, TURN, SPAN_MS);
    load.everybody(others, TURN, SPAN_MS);
  }
}

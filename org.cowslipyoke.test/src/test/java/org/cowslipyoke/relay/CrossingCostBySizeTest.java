package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.cowslipyoke.relay.CrossingCost.Crossing;
import org.junit.jupiter.api.Test;

/** Tests for which services the cost of a crossing follows the load. */
class CrossingCostBySizeTest {

  private static final Crossing CROSSING = new Crossing(1_000, 0.5);
  private static final double BY_LOAD = 77;

  private FleetState state = FleetState.initial(0, 0);
  private final CrossingCost cost =
      new CrossingCostBySize(
          () -> state,
          CrossingCostBySize.MIN_SERVERS_PER_DOMAIN,
          new CrossingCost() {
            @Override
            public double promptMs(String service, String domain, Crossing crossing) {
              return BY_LOAD;
            }

            @Override
            public double requests(String service, String domain, Crossing crossing) {
              return BY_LOAD;
            }
          });

  private void setServers(String service, int domains, int perDomain) {
    Map<String, BackendServer> all = new HashMap<>(state.servers());
    for (int d = 0; d < domains; d++) {
      for (int i = 0; i < perDomain; i++) {
        String id = service + "-" + d + "-" + i;
        all.put(id, new BackendServer(id, 1, service, id, 80, "d" + d, false, 0, 6, Map.of()));
      }
    }
    state = state.withServers(all, 0);
  }

  /** Guards against keeping callers at one or two servers while those of other domains are idle. */
  @Test
  void smallServiceKeepsTheFixedCost() {
    setServers("small", 3, 2);
    setServers("large", 3, 4);
    assertEquals(PromptPlacement.REMOTE_MS, cost.promptMs("small", "d1", CROSSING));
    assertEquals(ServicePlacement.REMOTE_WEIGHT, cost.requests("small", "d1", CROSSING));
    assertEquals(BY_LOAD, cost.promptMs("large", "d1", CROSSING));
    assertEquals(BY_LOAD, cost.requests("large", "d1", CROSSING));
  }

  /** Guards against a decision that outlives the servers that it was made for. */
  @Test
  void costFollowsTheServers() {
    setServers("s", 2, 2);
    assertEquals(PromptPlacement.REMOTE_MS, cost.promptMs("s", "d1", CROSSING));
    setServers("s", 2, 5);
    assertEquals(BY_LOAD, cost.promptMs("s", "d1", CROSSING));
  }
}

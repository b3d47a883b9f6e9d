package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.junit.jupiter.api.Test;

class EngineLatencyModelTest {

  private static final long CAPACITY = 64_000;

  @Test
  void prefillSlowsWithTheBatchSize() {
    double idle = EngineProfile.INITIAL.prefillMs(9_190, 0);
    double busy = EngineProfile.INITIAL.prefillMs(9_190, 60);
    assertTrue(idle > 9_190 / 74.8, "steps take time in addition to prefill");
    assertEquals(9_190 * 60 * EngineProfile.INITIAL.stepMsPerRequest() / 1_024, busy - idle, 0.001);
  }

  @Test
  void promptThatFitsDoesNotWaitForMemory() {
    assertEquals(
        0, EngineLatencyModel.memoryWaitMs(new Load(20, 0, 50_000), 9_000, CAPACITY, 2_000));
    assertEquals(0, EngineLatencyModel.memoryWaitMs(Load.NONE, 70_000, CAPACITY, 2_000));
  }

  @Test
  void waitGrowsWithTheTokensThatDoNotFit() {
    Load full = new Load(40, 0, 64_000);
    assertEquals(250, EngineLatencyModel.memoryWaitMs(full, 8_000, CAPACITY, 2_000), 1);
    assertEquals(2_000, EngineLatencyModel.memoryWaitMs(full, 200_000, CAPACITY, 2_000), 1);
  }

  /** Guards against counting a shared prefix once per request: engines store it once. */
  @Test
  void sharedPartsAreCountedOnce() {
    ServerLoad load = new ServerLoad(new ManualClock(), added -> {});
    Prompt p = RelayFixture.prompt("org", "doc");
    PromptWork work = PromptWork.of(p, "salt", 1_000);
    assertEquals(9_025, load.addedTokens(work));
    load.recordStart(work);
    assertEquals(1_025, load.addedTokens(work));
    load.recordStart(work);
    assertEquals(10_050, load.residentTokens());
    assertEquals(9_025, load.addedTokens(PromptWork.of(p, "other weights", 1_000)));
    load.recordEnd(work);
    assertEquals(9_025, load.residentTokens());
    load.recordEnd(work);
    assertEquals(0, load.residentTokens());
  }

  @Test
  void residenceIsTheMeanOverTokens() {
    ServerLoads loads = new ServerLoads(new ManualClock());
    assertEquals(ServerLoads.INITIAL_RESIDENCE_MS, loads.residenceMs());
    for (int i = 0; i < 1_000; i++) {
      loads.recordResidence(9_000, 1_000);
      loads.recordResidence(1_000, 5_000);
    }
    assertEquals(1_400, loads.residenceMs(), 60);
    assertEquals(List.of(), List.copyOf(loads.snapshot().keySet()));
  }
}

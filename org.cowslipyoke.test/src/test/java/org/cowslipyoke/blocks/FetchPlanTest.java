package org.cowslipyoke.blocks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cowslipyoke.blocks.BlockReader.Copy;
import org.cowslipyoke.blocks.FetchPlan.Fetch;
import org.cowslipyoke.platform.VmList.State;
import org.cowslipyoke.platform.VmList.Vm;
import org.junit.jupiter.api.Test;

/**
 * Guards against fetching blocks more slowly than the engine recomputes them, fetching blocks that
 * it can't use, and placing all copies in one failure domain.
 */
class FetchPlanTest {

  private static final Vm A = SealedTransferTest.store("a", "golega");
  private static final Vm B = SealedTransferTest.store("b", "coruche");
  private static final List<BlockKey> CHAIN =
      IntStream.range(0, 6).mapToObj(i -> new BlockKey("%032x".formatted(i))).toList();

  /** One block takes 100 ms to recompute at this rate. */
  private static final double PREFILL_TOKENS_PER_SECOND = 10_240;

  private final Map<BlockKey, List<Copy>> copies = new HashMap<>();

  @Test
  void fetchesOnlyTheLongestContiguousPrefix() {
    addCopies(A, 1, 2, 4, 5);
    assertEquals(CHAIN.subList(1, 3), keys(plan(1, 200_000)));
  }

  @Test
  void recomputesWhenTheLinkIsSlow() {
    addCopies(A, 0, 1, 2, 3, 4, 5);
    assertEquals(6, plan(0, 101_000).fetch().size());
    assertTrue(plan(0, 99_000).fetch().isEmpty());
  }

  @Test
  void linksTransferInParallel() {
    addCopies(A, 0, 2, 4);
    addCopies(B, 1, 3, 5);
    FetchPlan plan = plan(0, 51_000);
    assertEquals(6, plan.fetch().size(), "each link carries one block for two recomputed");
    assertEquals(588, plan.fetchMs());
    assertEquals(60_000, plan.bytes());
  }

  @Test
  void closedLinkEndsThePrefix() {
    addCopies(A, 0, 2);
    addCopies(B, 1);
    FetchPlan plan =
        FetchPlan.choose(
            CHAIN, 0, copies, v -> !v.equals(B), v -> 1_000_000, PREFILL_TOKENS_PER_SECOND);
    assertEquals(CHAIN.subList(0, 1), keys(plan));
  }

  @Test
  void copiesAreInDifferentFailureDomainsAndLeavingVmsTakeNoNewBlock() {
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      vms.add(SealedTransferTest.store("vm-" + i, "domain-" + i / 4));
    }
    Vm leaving = new Vm("x", "127.0.0.1", 1, A.role(), "domain-9", A.group(), State.LEAVING);
    vms.add(leaving);
    BlockPlacement placement = new BlockPlacement(vms, 2);
    for (BlockKey k : CHAIN) {
      List<Vm> writers = placement.writers(k);
      assertEquals(2, writers.size());
      assertEquals(2, new HashSet<>(writers.stream().map(Vm::failureDomain).toList()).size());
      assertTrue(!writers.contains(leaving));
    }
    assertTrue(CHAIN.stream().anyMatch(k -> placement.readers(k).contains(leaving)));
  }

  @Test
  void valueFallsWithAgePositionAndQuota() {
    long hour = ReuseValue.HALF_AGE_MS;
    double fresh = ReuseValue.of(0, 0, 10, 0, 100);
    assertEquals(10_240, fresh, 1);
    assertEquals(fresh / 2, ReuseValue.of(hour, 0, 10, 0, 100), 1);
    assertEquals(fresh / 10, ReuseValue.of(0, 9, 10, 0, 100), 1);
    assertEquals(fresh / 2, ReuseValue.of(0, 0, 10, 50, 100), 1);
    assertEquals(0, ReuseValue.of(0, 0, 10, 100, 100), 0);
    assertEquals(0, ReuseValue.of(0, 0, 10, 0, 0), 0);
  }

  private void addCopies(Vm vm, int... positions) {
    for (int i : positions) {
      Copy copy = new Copy(vm, new BlockSeal(1, 10_000, 0));
      copies.computeIfAbsent(CHAIN.get(i), k -> new ArrayList<>()).add(copy);
    }
  }

  private FetchPlan plan(int cached, double bytesPerSecond) {
    return FetchPlan.choose(
        CHAIN, cached, copies, v -> true, v -> bytesPerSecond, PREFILL_TOKENS_PER_SECOND);
  }

  private static List<BlockKey> keys(FetchPlan plan) {
    return plan.fetch().stream().map(Fetch::key).toList();
  }
}

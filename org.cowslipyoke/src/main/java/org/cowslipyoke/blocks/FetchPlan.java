package org.cowslipyoke.blocks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.cowslipyoke.blocks.BlockReader.Copy;
import org.cowslipyoke.platform.VmList.Vm;

/**
 * The blocks of a prompt to fetch before it runs. The engine can use only a contiguous prefix of
 * the prompt, so the plan is the prefix for which fetching saves the most time over recomputing.
 *
 * @param cachedBlocks blocks at the start of the chain that the engine holds
 * @param fetch blocks to fetch, in the order of the chain
 * @param bytes number of bytes to transfer over links
 * @param fetchMs expected time of the fetch in milliseconds; links transfer in parallel
 */
public record FetchPlan(int cachedBlocks, List<Fetch> fetch, long bytes, long fetchMs) {

  /** A block to fetch with its copies, the preferred one first. */
  public record Fetch(BlockKey key, List<Copy> copies) {}

  /** Returns a plan that fetches nothing. */
  public static FetchPlan none(int cachedBlocks) {
    return new FetchPlan(cachedBlocks, List.of(), 0, 0);
  }

  /** Returns the number of prompt tokens that the engine need not compute. */
  public int reusedTokens() {
    return (cachedBlocks + fetch.size()) * BlockChain.BLOCK_TOKENS;
  }

  /**
   * Chooses the prefix to fetch.
   *
   * @param chain keys of the prompt
   * @param cachedBlocks blocks at the start that the engine holds
   * @param copies sealed copies by key
   * @param isOpen whether the link to a VM is open
   * @param rate measured rate of the link to a VM in bytes per second
   * @param prefillTokensPerSecond prompt tokens that the engine computes per second
   */
  public static FetchPlan choose(
      List<BlockKey> chain,
      int cachedBlocks,
      Map<BlockKey, List<Copy>> copies,
      Predicate<Vm> isOpen,
      ToDoubleFunction<Vm> rate,
      double prefillTokensPerSecond) {
    double recomputeMs = BlockChain.BLOCK_TOKENS * 1000.0 / Math.max(1, prefillTokensPerSecond);
    Map<String, Double> linkMs = new HashMap<>();
    List<Fetch> usable = new ArrayList<>();
    FetchPlan best = none(cachedBlocks);
    double bestGain = 0;
    double slowestLinkMs = 0;
    long bytes = 0;
    for (BlockKey key : chain.subList(Math.min(cachedBlocks, chain.size()), chain.size())) {
      List<Copy> open =
          copies.getOrDefault(key, List.of()).stream().filter(c -> isOpen.test(c.vm())).toList();
      if (open.isEmpty()) {
        break;
      }
      Copy first = open.get(0);
      double ms = first.seal().length() * 1000.0 / Math.max(1, rate.applyAsDouble(first.vm()));
      slowestLinkMs = Math.max(slowestLinkMs, linkMs.merge(first.vm().vm(), ms, Double::sum));
      bytes += first.seal().length();
      usable.add(new Fetch(key, open));
      double gain = usable.size() * recomputeMs - slowestLinkMs;
      if (gain > bestGain) {
        bestGain = gain;
        best = new FetchPlan(cachedBlocks, List.copyOf(usable), bytes, Math.round(slowestLinkMs));
      }
    }
    return best;
  }
}

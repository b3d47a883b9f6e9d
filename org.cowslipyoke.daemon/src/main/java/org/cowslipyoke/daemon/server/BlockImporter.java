package org.cowslipyoke.daemon.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipyoke.admission.LinkBudget.Purpose;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockReader;
import org.cowslipyoke.blocks.BlockReader.Block;
import org.cowslipyoke.blocks.BlockReader.Copy;
import org.cowslipyoke.blocks.CacheView;
import org.cowslipyoke.blocks.FetchPlan;
import org.cowslipyoke.blocks.FetchPlan.Fetch;
import org.cowslipyoke.blocks.StoreLinks;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.util.Clock;

/** Imports blocks from the store VMs into the engine before their run starts. */
final class BlockImporter {

  /**
   * Added to twice the planned fetch time to get the time limit of an import, in milliseconds. The
   * limit is at least the time that recomputing all blocks of the plan would take; after it the
   * remaining blocks are recomputed.
   */
  private static final long GRACE_MS = 100;

  /** An import in progress. */
  final class Import {

    private final List<CompletableFuture<Boolean>> blocks = new ArrayList<>();
    private final AtomicInteger firstMissing = new AtomicInteger(Integer.MAX_VALUE);
    private final long untilMs;

    private Import(FetchPlan plan, double prefillTokensPerSecond) {
      double tokens = plan.fetch().size() * (double) BlockChain.BLOCK_TOKENS;
      long recomputeMs = Math.round(tokens * 1_000 / Math.max(1, prefillTokensPerSecond));
      this.untilMs = clock.nowMs() + Math.max(2 * plan.fetchMs() + GRACE_MS, recomputeMs);
    }

    /**
     * Waits until all blocks are imported, one of them failed, or the time limit is reached.
     *
     * @return number of tokens in the leading blocks that were imported
     */
    int awaitPrefix() {
      int done = 0;
      try {
        for (CompletableFuture<Boolean> b : blocks) {
          long left = Math.max(1, untilMs - clock.nowMs());
          if (!b.get(left, TimeUnit.MILLISECONDS)) {
            break;
          }
          done++;
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (ExecutionException | TimeoutException e) {
        firstMissing.set(0);
      }
      firstMissing.accumulateAndGet(done, Math::min);
      return done * BlockChain.BLOCK_TOKENS;
    }
  }

  private final Clock clock;
  private final StoreNetwork network;
  private final ModelEngine engine;
  private final CacheView cache;
  private final Executor executor;

  BlockImporter(
      Clock clock, StoreNetwork network, ModelEngine engine, CacheView cache, Executor pool) {
    this.clock = clock;
    this.network = network;
    this.engine = engine;
    this.cache = cache;
    this.executor = pool;
  }

  /** Returns which blocks to fetch; blocks while it looks them up at the store VMs. */
  FetchPlan plan(List<BlockKey> chain, double prefillTokensPerSecond) {
    int cached = cache.prefixLength(chain);
    if (cached == chain.size() || network.placement().stores().isEmpty()) {
      return FetchPlan.none(cached);
    }
    StoreLinks links = network.access(Purpose.INTERACTIVE_IMPORT, clock.nowMs());
    Map<BlockKey, List<Copy>> copies =
        new BlockReader(links, clock)
            .find(chain.subList(cached, chain.size()), network.placement());
    return FetchPlan.choose(
        chain, cached, copies, links::isOpen, links::rate, prefillTokensPerSecond);
  }

  /** Returns a plan that fetches nothing. */
  FetchPlan cachedOnly(List<BlockKey> chain) {
    return FetchPlan.none(cache.prefixLength(chain));
  }

  /** Starts to fetch the blocks of a plan. Blocks after one that failed are not fetched. */
  Import start(FetchPlan plan, double prefillTokensPerSecond) {
    Import target = new Import(plan, prefillTokensPerSecond);
    StoreLinks links = network.access(Purpose.INTERACTIVE_IMPORT, target.untilMs);
    BlockReader reader = new BlockReader(links, clock);
    for (int i = 0; i < plan.fetch().size(); i++) {
      int index = i;
      Fetch fetch = plan.fetch().get(i);
      try {
        target.blocks.add(
            CompletableFuture.supplyAsync(() -> transfer(target, index, fetch, reader), executor));
      } catch (RejectedExecutionException e) {
        target.blocks.add(CompletableFuture.completedFuture(false));
        break;
      }
    }
    return target;
  }

  private boolean transfer(Import target, int index, Fetch fetch, BlockReader reader) {
    if (index > target.firstMissing.get() || clock.nowMs() >= target.untilMs) {
      return false;
    }
    network.expectInteractive();
    try {
      Optional<Block> block = reader.read(fetch.key(), fetch.copies());
      boolean done =
          block.isPresent()
              && engine.importBlock(fetch.key(), block.get().bytes()).getOrElse(false);
      if (done) {
        cache.added(List.of(fetch.key()));
      } else {
        target.firstMissing.accumulateAndGet(index, Math::min);
      }
      return done;
    } finally {
      network.interactiveDone();
    }
  }
}

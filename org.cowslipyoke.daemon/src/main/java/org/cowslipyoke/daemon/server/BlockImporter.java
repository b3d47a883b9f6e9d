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

/** Imports kept blocks into the engine while their run waits. */
final class BlockImporter {

  /**
   * Time beyond the plan's estimate after which the rest is recomputed, in milliseconds, if to
   * recompute all of it takes no longer.
   */
  private static final long GRACE_MS = 100;

  /** An import under way. */
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
     * Waits until all blocks are in the engine, one is not to be had, or the time is over.
     *
     * @return tokens that were imported as a prefix
     */
    int await() {
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
  private final Executor pool;

  BlockImporter(
      Clock clock, StoreNetwork network, ModelEngine engine, CacheView cache, Executor pool) {
    this.clock = clock;
    this.network = network;
    this.engine = engine;
    this.cache = cache;
    this.pool = pool;
  }

  /** Returns which blocks to fetch; asks the store VMs what they hold. */
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

  /** Begins to fetch the blocks of a plan. Blocks behind a missing one are not fetched. */
  Import begin(FetchPlan plan, double prefillTokensPerSecond) {
    Import run = new Import(plan, prefillTokensPerSecond);
    StoreLinks links = network.access(Purpose.INTERACTIVE_IMPORT, run.untilMs);
    BlockReader reader = new BlockReader(links, clock);
    for (int i = 0; i < plan.fetch().size(); i++) {
      int index = i;
      Fetch fetch = plan.fetch().get(i);
      try {
        run.blocks.add(
            CompletableFuture.supplyAsync(() -> transfer(run, index, fetch, reader), pool));
      } catch (RejectedExecutionException e) {
        run.blocks.add(CompletableFuture.completedFuture(false));
        break;
      }
    }
    return run;
  }

  private boolean transfer(Import run, int index, Fetch fetch, BlockReader reader) {
    if (index > run.firstMissing.get() || clock.nowMs() >= run.untilMs) {
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
        run.firstMissing.accumulateAndGet(index, Math::min);
      }
      return done;
    } finally {
      network.interactiveDone();
    }
  }
}

package org.cowslipyoke.daemon.server;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.admission.LinkBudget.Purpose;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockPlacement;
import org.cowslipyoke.blocks.BlockReader;
import org.cowslipyoke.blocks.BlockReader.Copy;
import org.cowslipyoke.blocks.BlockWriter;
import org.cowslipyoke.blocks.ReuseValue;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;

/**
 * Exports blocks of finished runs to the store VMs, the block with the highest expected value
 * first. Links leave their budget to imports, so blocks that wait too long are dropped.
 */
final class BlockExporter {

  /** Blocks that wait for export at most; the least valuable is dropped first. */
  private static final int CAPACITY = 1_024;

  /** Time for which one block may wait for the budget of its link, in milliseconds. */
  private static final long BUDGET_WAIT_MS = 5_000;

  /**
   * Time in which the count of an organisation's exported blocks halves, in milliseconds. The
   * stores evict on their own, so the count is an estimate of what they still hold.
   */
  private static final double HALF_LIFE_MS = 6 * 3_600_000.0;

  private record Item(
      BlockKey key, String organisation, int index, int length, long finishedMs, Purpose purpose) {}

  private record Kept(double blocks, long atMs) {}

  private final Clock clock;
  private final ConfigurationHolder configuration;
  private final StoreNetwork network;
  private final ModelEngine engine;
  private final List<Item> waiting = new ArrayList<>();
  private final Map<String, Kept> kept = new HashMap<>();

  BlockExporter(
      Clock clock, ConfigurationHolder configuration, StoreNetwork network, ModelEngine engine) {
    this.clock = clock;
    this.configuration = configuration;
    this.network = network;
    this.engine = engine;
  }

  /** Adds the blocks of a finished run that the store VMs lack; asks them, so it blocks. */
  void offer(String organisation, List<BlockKey> chain, boolean overnight) {
    BlockPlacement placement = network.placement();
    if (chain.isEmpty() || placement.stores().isEmpty()) {
      return;
    }
    Map<BlockKey, List<Copy>> held =
        new BlockReader(network.access(Purpose.EXPORT, clock.nowMs()), clock)
            .find(chain, placement);
    List<Integer> missing = new ArrayList<>();
    for (int i = 0; i < chain.size(); i++) {
      BlockKey key = chain.get(i);
      if (held.getOrDefault(key, List.of()).size() < placement.writers(key).size()) {
        missing.add(i);
      }
    }
    add(organisation, chain, missing, overnight);
  }

  private synchronized void add(
      String organisation, List<BlockKey> chain, List<Integer> positions, boolean overnight) {
    Purpose purpose = overnight ? Purpose.OVERNIGHT : Purpose.EXPORT;
    for (int i : positions) {
      BlockKey key = chain.get(i);
      waiting.removeIf(w -> w.key().equals(key));
      waiting.add(new Item(key, organisation, i, chain.size(), clock.nowMs(), purpose));
    }
    while (waiting.size() > CAPACITY) {
      waiting.remove(extreme(false));
    }
  }

  /** Returns the number of waiting blocks. */
  synchronized int waiting() {
    return waiting.size();
  }

  /** Exports waiting blocks until none is left or the time is over; blocks. */
  void exportFor(long ms) {
    long untilMs = clock.nowMs() + ms;
    for (Optional<Item> next = poll(); next.isPresent(); next = poll()) {
      export(next.get());
      if (clock.nowMs() >= untilMs || Thread.currentThread().isInterrupted()) {
        return;
      }
    }
  }

  private synchronized Optional<Item> poll() {
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    Item best = waiting.remove(extreme(true));
    if (value(best) > 0) {
      return Optional.of(best);
    }
    waiting.clear();
    return Optional.empty();
  }

  /** Returns the position of the block with the highest or the lowest value. */
  private int extreme(boolean highest) {
    int at = 0;
    double extreme = value(waiting.get(0));
    for (int i = 1; i < waiting.size(); i++) {
      double v = value(waiting.get(i));
      if (highest ? v > extreme : v < extreme) {
        at = i;
        extreme = v;
      }
    }
    return at;
  }

  private double value(Item item) {
    long quota =
        configuration
            .current()
            .map(Configuration::organisations)
            .map(o -> o.get(item.organisation()))
            .map(Organisation::keptBlocks)
            .orElse(0);
    long age = clock.nowMs() - item.finishedMs();
    long held = Math.round(keptNow(item.organisation()));
    long share = (quota + network.servers() - 1) / network.servers();
    return ReuseValue.of(age, item.index(), item.length(), held, share);
  }

  private void export(Item item) {
    BlockWriter writer =
        new BlockWriter(network.access(item.purpose(), clock.nowMs() + BUDGET_WAIT_MS), clock);
    Optional<byte[]> bytes = Optional.empty();
    boolean written = false;
    for (Vm vm : network.placement().writers(item.key())) {
      if (writer.isPresent(item.key(), vm)) {
        continue;
      }
      if (bytes.isEmpty()) {
        bytes = engine.exportBlock(item.key()).getOrElse(Optional.empty());
      }
      if (bytes.isEmpty()) {
        return;
      }
      written |= writer.write(item.key(), bytes.get(), vm) == BlockWriter.Result.WRITTEN;
    }
    if (written) {
      count(item.organisation());
    }
  }

  private synchronized void count(String organisation) {
    kept.put(organisation, new Kept(keptNow(organisation) + 1, clock.nowMs()));
  }

  private double keptNow(String organisation) {
    Kept k = kept.get(organisation);
    return k == null ? 0 : k.blocks() * Math.pow(0.5, (clock.nowMs() - k.atMs()) / HALF_LIFE_MS);
  }
}

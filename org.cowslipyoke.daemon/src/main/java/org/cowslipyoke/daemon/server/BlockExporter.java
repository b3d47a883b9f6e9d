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
 * Exports blocks of finished runs to the store VMs, in descending order of expected value. Imports
 * have priority on the links, so a block that waits too long for link budget is dropped.
 */
final class BlockExporter {

  /** Maximum number of pending blocks; the least valuable is dropped first. */
  private static final int MAX_PENDING = 1_024;

  /** Time for which an export may wait for link budget, in milliseconds. */
  private static final long LINK_BUDGET_TIMEOUT_MS = 5_000;

  /**
   * Half-life of the count of an organisation's exported blocks, in milliseconds. The stores evict
   * blocks without notice, so the decayed count estimates how many they still hold.
   */
  private static final double HALF_LIFE_MS = 6 * 3_600_000.0;

  private record PendingBlock(
      BlockKey key, String organisation, int index, int length, long finishedMs, Purpose purpose) {}

  private record ExportCount(double blocks, long atMs) {}

  private final Clock clock;
  private final ConfigurationHolder configuration;
  private final StoreNetwork network;
  private final ModelEngine engine;
  private final List<PendingBlock> waiting = new ArrayList<>();
  private final Map<String, ExportCount> exportCounts = new HashMap<>();

  BlockExporter(
      Clock clock, ConfigurationHolder configuration, StoreNetwork network, ModelEngine engine) {
    this.clock = clock;
    this.configuration = configuration;
    this.network = network;
    this.engine = engine;
  }

  /**
   * Adds the blocks of a finished run that are missing at the store VMs. Blocks, because it looks
   * the blocks up there.
   */
  void enqueueMissing(String organisation, List<BlockKey> chain, boolean overnight) {
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
      waiting.add(new PendingBlock(key, organisation, i, chain.size(), clock.nowMs(), purpose));
    }
    while (waiting.size() > MAX_PENDING) {
      waiting.remove(indexOfExtreme(false));
    }
  }

  /** Returns the number of pending blocks. */
  synchronized int pendingCount() {
    return waiting.size();
  }

  /**
   * Exports pending blocks until none is left or the time has passed; blocks.
   *
   * @param ms time limit in milliseconds, checked after each block
   */
  void exportFor(long ms) {
    long untilMs = clock.nowMs() + ms;
    for (Optional<PendingBlock> next = poll(); next.isPresent(); next = poll()) {
      export(next.get());
      if (clock.nowMs() >= untilMs || Thread.currentThread().isInterrupted()) {
        return;
      }
    }
  }

  private synchronized Optional<PendingBlock> poll() {
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    PendingBlock best = waiting.remove(indexOfExtreme(true));
    if (value(best) > 0) {
      return Optional.of(best);
    }
    waiting.clear();
    return Optional.empty();
  }

  /** Returns the index of the pending block with the highest or the lowest value. */
  private int indexOfExtreme(boolean highest) {
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

  private double value(PendingBlock block) {
    long quota =
        configuration
            .current()
            .map(Configuration::organisations)
            .map(o -> o.get(block.organisation()))
            .map(Organisation::keptBlocks)
            .orElse(0);
    long age = clock.nowMs() - block.finishedMs();
    long held = Math.round(currentCount(block.organisation()));
    long share = (quota + network.servers() - 1) / network.servers();
    return ReuseValue.of(age, block.index(), block.length(), held, share);
  }

  private void export(PendingBlock block) {
    BlockWriter writer =
        new BlockWriter(
            network.access(block.purpose(), clock.nowMs() + LINK_BUDGET_TIMEOUT_MS), clock);
    Optional<byte[]> bytes = Optional.empty();
    boolean written = false;
    for (Vm vm : network.placement().writers(block.key())) {
      if (writer.isPresent(block.key(), vm)) {
        continue;
      }
      if (bytes.isEmpty()) {
        bytes = engine.exportBlock(block.key()).getOrElse(Optional.empty());
      }
      if (bytes.isEmpty()) {
        return;
      }
      written |= writer.write(block.key(), bytes.get(), vm) == BlockWriter.Result.WRITTEN;
    }
    if (written) {
      countExport(block.organisation());
    }
  }

  private synchronized void countExport(String organisation) {
    exportCounts.put(organisation, new ExportCount(currentCount(organisation) + 1, clock.nowMs()));
  }

  private double currentCount(String organisation) {
    ExportCount k = exportCounts.get(organisation);
    return k == null ? 0 : k.blocks() * Math.pow(0.5, (clock.nowMs() - k.atMs()) / HALF_LIFE_MS);
  }
}

package org.cowslipyoke.blocks;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.StoreVm.BlockData;
import org.cowslipyoke.platform.StoreVm.StoredBlock;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;

/**
 * Reads sealed blocks from store VMs. The seal is read first, then the bytes; generation, length
 * and checksum are compared after the read, so a block that was freed or rewritten in between is
 * never returned. A copy that fails is replaced by the other one.
 */
public final class BlockReader {

  /** A copy that a store VM has reported as sealed. */
  public record Copy(Vm vm, BlockSeal seal) {}

  /** A block that was read and checked. */
  public record Block(Vm vm, byte[] bytes) {}

  private final StoreLinks links;
  private final Clock clock;

  /** Creates a reader over links. */
  public BlockReader(StoreLinks links, Clock clock) {
    this.links = links;
    this.clock = clock;
  }

  /**
   * Asks the store VMs which of the keys they hold.
   *
   * @return copies by key, the preferred one first; keys without a copy are absent
   */
  public Map<BlockKey, List<Copy>> find(List<BlockKey> keys, BlockPlacement placement) {
    Map<Vm, List<BlockKey>> asked = new LinkedHashMap<>();
    for (BlockKey k : keys) {
      for (Vm v : placement.readers(k)) {
        asked.computeIfAbsent(v, x -> new ArrayList<>()).add(k);
      }
    }
    Map<Vm, Map<BlockKey, BlockSeal>> answers = new HashMap<>();
    asked.forEach((vm, wanted) -> answers.put(vm, lookup(vm, wanted)));
    Map<BlockKey, List<Copy>> found = new LinkedHashMap<>();
    for (BlockKey k : keys) {
      for (Vm v : placement.readers(k)) {
        BlockSeal seal = answers.getOrDefault(v, Map.of()).get(k);
        if (seal != null) {
          found.computeIfAbsent(k, x -> new ArrayList<>()).add(new Copy(v, seal));
        }
      }
    }
    return found;
  }

  /** Reads one block from the first copy that gives exactly what was sealed. */
  public Optional<Block> read(BlockKey key, List<Copy> copies) {
    for (Copy c : copies) {
      Optional<Block> block = readCopy(key, c);
      if (block.isPresent()) {
        return block;
      }
    }
    return Optional.empty();
  }

  private Map<BlockKey, BlockSeal> lookup(Vm vm, List<BlockKey> keys) {
    if (!links.isOpen(vm)) {
      return Map.of();
    }
    Either<Failure, List<StoredBlock>> answer = links.client(vm).lookup(keys);
    if (answer.isLeft()) {
      links.failed(vm);
      return Map.of();
    }
    Map<BlockKey, BlockSeal> seals = new HashMap<>();
    answer.get().forEach(h -> seals.put(h.key(), h.seal()));
    return seals;
  }

  private Optional<Block> readCopy(BlockKey key, Copy copy) {
    Vm vm = copy.vm();
    BlockSeal seal = copy.seal();
    if (!links.isOpen(vm) || !links.acquire(vm, seal.length())) {
      return Optional.empty();
    }
    long begin = clock.nowMs();
    Either<Failure, Optional<BlockData>> answer = links.client(vm).read(key, seal.generation());
    if (answer.isLeft()) {
      links.failed(vm);
      return Optional.empty();
    }
    if (answer.get().isEmpty()) {
      links.onResponse(vm);
      return Optional.empty();
    }
    BlockData data = answer.get().get();
    links.succeeded(vm, data.bytes().length, clock.nowMs() - begin);
    return seal.matches(data.generation(), data.bytes())
        ? Optional.of(new Block(vm, data.bytes()))
        : Optional.empty();
  }
}

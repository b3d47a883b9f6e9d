package org.cowslipyoke.fake;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockSeal;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.StoreVm;

/** Store VM in memory with switches for death and lack of room. */
public final class FakeStoreVm implements StoreVm {

  private final Map<BlockKey, Map<Long, byte[]>> data = new HashMap<>();
  private final Map<BlockKey, BlockSeal> seals = new HashMap<>();
  private long nextGeneration = 1;
  private boolean dead;
  private boolean full;

  /** Makes every call fail; what it held is lost. */
  public void die() {
    dead = true;
    data.clear();
    seals.clear();
  }

  /** Refuses new blocks. */
  public void fill() {
    full = true;
  }

  @Override
  public Either<Failure, List<StoredBlock>> lookup(List<BlockKey> keys) {
    if (dead) {
      return down();
    }
    List<StoredBlock> held = new ArrayList<>();
    for (BlockKey k : keys) {
      BlockSeal s = seals.get(k);
      if (s != null) {
        held.add(new StoredBlock(k, s, Tier.MEMORY));
      }
    }
    return Either.right(held);
  }

  @Override
  public Either<Failure, Long> open(BlockKey key, int length) {
    if (dead) {
      return down();
    }
    if (full) {
      return Either.left(Failure.of(ErrorKind.OVERLOADED, "store is full"));
    }
    return Either.right(nextGeneration++);
  }

  @Override
  public Either<Failure, Boolean> write(BlockKey key, long generation, byte[] bytes) {
    if (dead) {
      return down();
    }
    data.computeIfAbsent(key, k -> new HashMap<>()).put(generation, bytes.clone());
    return Either.right(true);
  }

  @Override
  public Either<Failure, Boolean> seal(BlockKey key, BlockSeal seal) {
    if (dead) {
      return down();
    }
    seals.put(key, seal);
    return Either.right(true);
  }

  @Override
  public Either<Failure, Optional<BlockData>> read(BlockKey key, long generation) {
    if (dead) {
      return down();
    }
    byte[] bytes = data.getOrDefault(key, Map.of()).get(generation);
    return Either.right(Optional.ofNullable(bytes).map(b -> new BlockData(generation, b)));
  }

  private static <T> Either<Failure, T> down() {
    return Either.left(Failure.of(ErrorKind.NO_SERVER, "store VM is down"));
  }
}

package org.cowslipyoke.fake;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockSeal;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.StoreVm;

/** Store VM in memory with switches for an outage, a full store and damaged reads. */
public final class FaultyStoreVm implements StoreVm {

  private record Generation(BlockKey key, long number) {}

  private final Map<Generation, byte[]> data = new HashMap<>();
  private final Map<BlockKey, BlockSeal> seals = new HashMap<>();
  private final List<BlockKey> sealedKeys = new ArrayList<>();
  private UnaryOperator<BlockData> transformReads = d -> d;
  private Runnable beforeRead = () -> {};
  private boolean outage;
  private boolean full;
  private boolean failWrites;
  private long generations;

  /** Makes every call fail. */
  public synchronized void setOutage(boolean on) {
    outage = on;
  }

  /** Makes every opening fail as full. */
  public synchronized void setFull(boolean on) {
    full = on;
  }

  /** Lets writes store half of their bytes and fail. */
  public synchronized void failWrites(boolean on) {
    failWrites = on;
  }

  /** Changes what reads return. */
  public synchronized void transformReads(UnaryOperator<BlockData> change) {
    transformReads = change;
  }

  /** Runs before each read, between the reader's lookup and its read. */
  public synchronized void beforeRead(Runnable action) {
    beforeRead = action;
  }

  /** Stores a sealed block. */
  public synchronized void putSealed(BlockKey key, byte[] bytes) {
    long generation = ++generations;
    data.put(new Generation(key, generation), bytes.clone());
    seals.put(key, BlockSeal.of(generation, bytes));
  }

  /** Frees a block and its generation. */
  public synchronized void evict(BlockKey key) {
    seals.remove(key);
    data.keySet().removeIf(g -> g.key().equals(key));
  }

  /** Returns the keys in the order in which they were sealed by writers. */
  public synchronized List<BlockKey> sealedKeys() {
    return List.copyOf(sealedKeys);
  }

  @Override
  public synchronized Either<Failure, List<StoredBlock>> lookup(List<BlockKey> keys) {
    if (outage) {
      return broken();
    }
    List<StoredBlock> held = new ArrayList<>();
    for (BlockKey k : keys) {
      BlockSeal seal = seals.get(k);
      if (seal != null) {
        held.add(new StoredBlock(k, seal, Tier.MEMORY));
      }
    }
    return Either.right(held);
  }

  @Override
  public synchronized Either<Failure, Long> open(BlockKey key, int length) {
    if (outage) {
      return broken();
    }
    return full
        ? Either.left(Failure.of(ErrorKind.OVERLOADED, "full"))
        : Either.right(++generations);
  }

  @Override
  public synchronized Either<Failure, Boolean> write(BlockKey key, long generation, byte[] bytes) {
    if (outage) {
      return broken();
    }
    int stored = failWrites ? bytes.length / 2 : bytes.length;
    data.put(new Generation(key, generation), Arrays.copyOf(bytes, stored));
    return failWrites ? broken() : Either.right(true);
  }

  @Override
  public synchronized Either<Failure, Boolean> seal(BlockKey key, BlockSeal seal) {
    if (outage) {
      return broken();
    }
    seals.put(key, seal);
    sealedKeys.add(key);
    return Either.right(true);
  }

  @Override
  public synchronized Either<Failure, Optional<BlockData>> read(BlockKey key, long generation) {
    beforeRead.run();
    if (outage) {
      return broken();
    }
    return Either.right(
        Optional.ofNullable(data.get(new Generation(key, generation)))
            .map(b -> transformReads.apply(new BlockData(generation, b.clone()))));
  }

  private static <T> Either<Failure, T> broken() {
    return Either.left(Failure.of(ErrorKind.INCOMPLETE, "connection reset"));
  }
}

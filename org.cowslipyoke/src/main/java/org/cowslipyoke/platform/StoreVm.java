package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.blocks.BlockSeal;
import org.cowslipyoke.errors.Failure;

/**
 * A store VM with a memory tier and a disk tier for KV blocks.
 *
 * <p>A block is written as data under (key, generation), then sealed. Only a sealed generation is
 * readable. The store never reuses a generation of a key.
 */
public interface StoreVm {

  /** Storage tier that holds a block. */
  enum Tier {
    MEMORY,
    DISK
  }

  /** A sealed block that the store holds. */
  record StoredBlock(BlockKey key, BlockSeal seal, Tier tier) {}

  /**
   * Data of one generation as it was read; not yet checked against the seal.
   *
   * @param generation generation that the bytes belong to
   */
  record BlockData(long generation, byte[] bytes) {}

  /** Returns the sealed blocks that the store holds for the keys, in the order of the keys. */
  Either<Failure, List<StoredBlock>> lookup(List<BlockKey> keys);

  /**
   * Opens a new generation of a key for writing and returns its number. Fails with {@code
   * OVERLOADED} if the store is full.
   */
  Either<Failure, Long> open(BlockKey key, int length);

  /** Writes the data of an open generation. */
  Either<Failure, Boolean> write(BlockKey key, long generation, byte[] bytes);

  /** Seals a generation. */
  Either<Failure, Boolean> seal(BlockKey key, BlockSeal seal);

  /** Reads the data of a generation; empty if it was freed. The caller checks it with the seal. */
  Either<Failure, Optional<BlockData>> read(BlockKey key, long generation);
}

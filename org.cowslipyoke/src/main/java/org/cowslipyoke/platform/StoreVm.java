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

  /** Tier that holds a block. */
  enum Tier {
    MEMORY,
    DISK
  }

  /** A sealed block that the store holds. */
  record StoredBlock(BlockKey key, BlockSeal seal, Tier tier) {}

  /**
   * Data of one generation as it was read.
   *
   * @param generation generation that the bytes belong to
   */
  record BlockData(long generation, byte[] bytes) {}

  /** Returns which of the keys the store holds sealed, in the order of the keys. */
  Either<Failure, List<StoredBlock>> lookup(List<BlockKey> keys);

  /** Opens a fresh generation of a key for writing. Fails with {@code OVERLOADED} if full. */
  Either<Failure, Long> open(BlockKey key, int length);

  /** Writes the data of an open generation. */
  Either<Failure, Boolean> write(BlockKey key, long generation, byte[] bytes);

  /** Seals a generation. */
  Either<Failure, Boolean> seal(BlockKey key, BlockSeal seal);

  /** Reads data of a generation; empty if it was freed. The reader checks it with the seal. */
  Either<Failure, Optional<BlockData>> read(BlockKey key, long generation);
}

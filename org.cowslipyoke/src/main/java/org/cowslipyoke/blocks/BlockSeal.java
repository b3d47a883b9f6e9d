package org.cowslipyoke.blocks;

import org.cowslipyoke.util.Digests;

/**
 * Seal of one generation of a block, by which readers verify the data.
 *
 * @param generation generation number, never used again for the key
 * @param length bytes of the data
 * @param checksum CRC32C of the data
 */
public record BlockSeal(long generation, int length, long checksum) {

  /** Returns the seal of the data. */
  public static BlockSeal of(long generation, byte[] bytes) {
    return new BlockSeal(generation, bytes.length, Digests.crc32c(bytes));
  }

  /** Returns whether data that was read with its generation is exactly what was sealed. */
  public boolean matches(long readGeneration, byte[] bytes) {
    return readGeneration == generation
        && bytes.length == length
        && Digests.crc32c(bytes) == checksum;
  }
}

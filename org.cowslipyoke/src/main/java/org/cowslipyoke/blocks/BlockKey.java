package org.cowslipyoke.blocks;

import java.util.HexFormat;

/**
 * Key of one KV cache block: 128 bits of a hash chain that is seeded by organisation, model, weight
 * version and adapter.
 *
 * @param hex 32 lower-case hexadecimal digits
 */
public record BlockKey(String hex) {

  /** Length of a key in bytes. */
  public static final int BYTES = 16;

  /**
   * Checks the format.
   *
   * @throws IllegalArgumentException if {@code hex} is not 32 lower-case hexadecimal digits
   */
  public BlockKey {
    if (!hex.matches("[0-9a-f]{32}")) {
      throw new IllegalArgumentException("block key must be 32 hexadecimal digits");
    }
  }

  /** Returns the key made of the first 16 bytes of a digest. */
  public static BlockKey ofDigest(byte[] digest) {
    return new BlockKey(HexFormat.of().formatHex(digest, 0, BYTES));
  }
}

package org.cowslipyoke.blocks;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cowslipyoke.util.Digests;

/** Derives the chain of block keys of a text for one organisation and one weight version. */
public final class BlockChain {

  /** Tokens in one block. */
  public static final int BLOCK_TOKENS = 1024;

  /** Number of UTF-8 bytes that count as one token. */
  public static final int TOKEN_BYTES = 4;

  /** Number of UTF-8 bytes in one block. */
  public static final int BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES;

  private BlockChain() {}

  /**
   * Returns the keys of all complete blocks of the text in order. A partial block at the end has no
   * key.
   *
   * @param organisation owner of the text; a part of the seed, so that equal texts of two
   *     organisations have different keys
   * @param model model name
   * @param weightVersion weight version that computes the blocks
   * @param adapter adapter name, empty if none
   * @param text UTF-8 bytes of the rendered text
   */
  public static List<BlockKey> keys(
      String organisation, String model, String weightVersion, String adapter, byte[] text) {
    byte[] previous = Digests.sha256("kv-block", organisation, model, weightVersion, adapter);
    List<BlockKey> keys = new ArrayList<>(text.length / BLOCK_BYTES);
    for (int at = 0; at + BLOCK_BYTES <= text.length; at += BLOCK_BYTES) {
      previous = Digests.sha256(previous, Arrays.copyOfRange(text, at, at + BLOCK_BYTES));
      keys.add(BlockKey.ofDigest(previous));
    }
    return List.copyOf(keys);
  }

  /** Returns the number of tokens that a text counts as, rounded up. */
  public static int tokens(String text) {
    return tokens(text.getBytes(StandardCharsets.UTF_8).length);
  }

  /** Returns the number of tokens that a number of UTF-8 bytes counts as, rounded up. */
  public static int tokens(int bytes) {
    return (bytes + TOKEN_BYTES - 1) / TOKEN_BYTES;
  }
}

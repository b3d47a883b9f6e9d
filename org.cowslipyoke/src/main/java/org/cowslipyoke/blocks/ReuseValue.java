package org.cowslipyoke.blocks;

/**
 * Expected tokens that a kept block saves: the probability that its prompt returns, times the
 * tokens that depend on the block, times what the organisation's quota leaves.
 */
public final class ReuseValue {

  /**
   * Age at which the probability of a return has halved, in milliseconds. Prompts return after
   * minutes to days, so the probability falls with the inverse of the age and not exponentially.
   */
  public static final long HALF_AGE_MS = 3_600_000;

  private ReuseValue() {}

  /**
   * Returns the expected tokens saved by keeping one block.
   *
   * @param ageMs time since the prompt was last used
   * @param index position of the block in its chain; without it no later block is usable
   * @param length blocks in the chain
   * @param keptBlocks blocks that the organisation has kept
   * @param quotaBlocks blocks that the organisation may keep
   * @return 0 if the quota is used up
   */
  public static double of(long ageMs, int index, int length, long keptBlocks, long quotaBlocks) {
    if (quotaBlocks <= 0 || keptBlocks >= quotaBlocks) {
      return 0;
    }
    double returns = 1 / (1 + Math.max(0, ageMs) / (double) HALF_AGE_MS);
    double dependent = (double) (length - index) * BlockChain.BLOCK_TOKENS;
    double left = 1 - (double) keptBlocks / quotaBlocks;
    return returns * dependent * left;
  }
}

package org.cowslipyoke.blocks;

/**
 * Estimates the number of tokens that a retained block saves: the probability that its prompt
 * returns, times the tokens that depend on the block, times the unused share of the organisation's
 * quota.
 */
public final class ReuseValue {

  /**
   * Age in milliseconds at which the probability of a return is one half. Prompts return after
   * minutes to days, so the probability falls with the inverse of the age and not exponentially.
   */
  public static final long HALF_AGE_MS = 3_600_000;

  private ReuseValue() {}

  /**
   * Returns the expected number of tokens saved by retaining one block.
   *
   * @param ageMs milliseconds since the prompt was last used
   * @param index position of the block in its chain; without this block no later one is usable
   * @param length number of blocks in the chain
   * @param keptBlocks number of blocks that the organisation has retained
   * @param quotaBlocks number of blocks that the organisation may retain
   * @return 0 if the quota is used up
   */
  public static double of(long ageMs, int index, int length, long keptBlocks, long quotaBlocks) {
    if (quotaBlocks <= 0 || keptBlocks >= quotaBlocks) {
      return 0;
    }
    double returnProbability = 1 / (1 + Math.max(0, ageMs) / (double) HALF_AGE_MS);
    double dependentTokens = (double) (length - index) * BlockChain.BLOCK_TOKENS;
    double quotaLeft = 1 - (double) keptBlocks / quotaBlocks;
    return returnProbability * dependentTokens * quotaLeft;
  }
}

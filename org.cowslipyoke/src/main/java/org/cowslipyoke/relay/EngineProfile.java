package org.cowslipyoke.relay;

import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Speed of a model engine with continuous batching, as of now.
 *
 * @param prefillMsPerToken time to prefill a token, in milliseconds
 * @param chunkTokens prompt tokens prefilled in one step
 * @param stepMs duration of a step without prefill, in milliseconds
 * @param stepMsPerRequest additional duration of a step per running request, in milliseconds
 * @param firstTokenOverheadMs time to the first token excluding prefill, in milliseconds
 * @param queue how tokens counted as waiting at the engine delay a prompt
 * @param slowdown factor by which this engine is slower now than others of its service, which the
 *     other values include; 1 if it is not
 */
public record EngineProfile(
    double prefillMsPerToken,
    double chunkTokens,
    double stepMs,
    double stepMsPerRequest,
    double firstTokenOverheadMs,
    Queue queue,
    double slowdown) {

  /**
   * Profile assumed before an engine has been observed: 74.8 tokens per millisecond in chunks of
   * 1,024 and steps of 4.84 ms, as the data sheets of the first users state; 0.0725 ms per running
   * request and 70 ms to a first token, from their site files.
   */
  public static final EngineProfile INITIAL =
      new EngineProfile(1 / 74.8, 1_024, 4.84, 0.0725, 70, Queue.FULL, 1);

  /**
   * Delay by tokens that are counted as waiting. A prompt is counted until its first token, so some
   * of its tokens have been prefilled already, and engines run more urgent prompts first.
   *
   * @param fraction part of the first {@link #KNEE_TOKENS} that delays a prompt
   * @param longFraction part of the tokens above that delays a prompt
   */
  public record Queue(double fraction, double longFraction) {

    /** Each token counted as waiting delays a prompt by its prefill. */
    public static final Queue FULL = new Queue(1, 1);

    /**
     * Number of waiting tokens from which a queue counts as long; a prompt of usual size. A short
     * queue has mostly been prefilled when it is seen, a long one has not.
     */
    public static final long KNEE_TOKENS = 8_000;

    /** Returns the number of waiting tokens that delay a prompt. */
    public double delayingTokens(long waiting) {
      return fraction * Math.min(waiting, KNEE_TOKENS)
          + longFraction * Math.max(0, waiting - KNEE_TOKENS);
    }
  }

  /** Returns the time to prefill tokens beside running requests, in milliseconds. */
  public double prefillMs(long tokens, int running) {
    return tokens * msPerToken(running);
  }

  /**
   * Returns the expected time to the first token, without waits for memory or transfers, in
   * milliseconds.
   *
   * @param tokens prompt tokens to prefill
   * @param waiting prompt tokens counted as waiting at the engine
   * @param running requests at the engine
   */
  public double firstTokenMs(long tokens, long waiting, int running) {
    double delaying = queue.delayingTokens(waiting);
    return firstTokenOverheadMs + (tokens + delaying) * msPerToken(running);
  }

  /**
   * Returns the time by which waiting prompt tokens delay the streams at the engine, but not a
   * further prompt, in milliseconds. Prefill lengthens the gaps of all streams, so an engine with a
   * queue is worse than one without also for prompts that overtake the queue.
   */
  public double crowdingMs(long waiting, int running) {
    return Math.max(0, waiting - queue.delayingTokens(waiting)) * msPerToken(running);
  }

  /**
   * Returns the number of prompt tokens that an engine prefills before a new prompt: those of
   * prompts that are as urgent or more, and at most one chunk of others, whose step has begun.
   *
   * @param load load of the engine without the prompt
   * @param rank {@link UrgencyRank} of the prompt
   */
  public long prefillTokensAhead(Load load, int rank) {
    long ahead = load.upTo(rank).prefillTokens();
    long others = load.prefillTokens() - ahead;
    return ahead + Math.min(others, Math.round(chunkTokens));
  }

  /** Returns the profile of an engine that is slower by a factor, and slow by another one now. */
  public EngineProfile slower(double factor, double slowNow) {
    double f = factor * slowNow;
    return new EngineProfile(
        prefillMsPerToken * f,
        chunkTokens,
        stepMs * f,
        stepMsPerRequest * f,
        firstTokenOverheadMs * f,
        queue,
        slowNow);
  }

  private double msPerToken(int running) {
    double step = stepMs + stepMsPerRequest * running;
    return prefillMsPerToken + step / chunkTokens;
  }
}

package org.cowslipyoke.relay;

/**
 * Speed of a model engine with continuous batching.
 *
 * @param prefillMsPerToken time to prefill a token, in milliseconds
 * @param chunkTokens prompt tokens prefilled in one step
 * @param stepMs duration of a step without prefill, in milliseconds
 * @param stepMsPerRequest additional duration of a step per running request, in milliseconds
 * @param firstTokenOverheadMs time to the first token excluding prefill, in milliseconds
 */
public record EngineProfile(
    double prefillMsPerToken,
    double chunkTokens,
    double stepMs,
    double stepMsPerRequest,
    double firstTokenOverheadMs) {

  /**
   * Profile assumed before an engine has been observed: 74.8 tokens per millisecond in chunks of
   * 1,024 and steps of 4.84 ms, as the data sheets of the first users state.
   */
  public static final EngineProfile INITIAL = new EngineProfile(1 / 74.8, 1_024, 4.84, 0.0725, 70);

  /** Returns the time to prefill tokens beside running requests, in milliseconds. */
  public double prefillMs(long tokens, int running) {
    double step = stepMs + stepMsPerRequest * running;
    return tokens * (prefillMsPerToken + step / chunkTokens);
  }
}

package org.cowslipyoke.relay;

import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Latency model of an engine with continuous batching and chunked prefill. Each step generates one
 * token for every running request and prefills one chunk of the waiting prompts. Running requests
 * therefore slow down prefill, and a prompt that does not fit the engine's memory waits until
 * running requests end.
 */
final class EngineLatencyModel {

  /**
   * Prefill time per token in milliseconds; both users' data sheets state 74.8 tokens per
   * millisecond.
   */
  static final double PREFILL_MS_PER_TOKEN = 1 / 74.8;

  /** Prompt tokens prefilled in one step, from the data sheets. */
  static final double PREFILL_CHUNK_TOKENS = 1_024;

  /** Duration of a step without prefill in milliseconds, from the data sheets. */
  static final double STEP_MS = 4.84;

  /** Additional duration of a step per running request in milliseconds, from the site files. */
  static final double STEP_MS_PER_REQUEST = 0.0725;

  /** Time to the first token excluding prefill in milliseconds, from the site files. */
  static final double FIRST_TOKEN_OVERHEAD_MS = 70;

  /**
   * Fraction of the memory that running requests fill before new ones wait. No reserve is needed on
   * top: a part shared by requests of several entries is counted once per entry, so the load is
   * overestimated.
   */
  static final double MEMORY_FRACTION = 1.0;

  private EngineLatencyModel() {}

  /** Returns the time to prefill tokens beside running requests, in milliseconds. */
  static double prefillMs(long tokens, int running) {
    double step = STEP_MS + STEP_MS_PER_REQUEST * running;
    return tokens * (PREFILL_MS_PER_TOKEN + step / PREFILL_CHUNK_TOKENS);
  }

  /**
   * Returns the time until running requests have freed enough memory for another one, in
   * milliseconds.
   *
   * @param load load of the engine without the request
   * @param tokens tokens that the request adds to the engine's memory
   * @param capacity capacity of the engine's memory in tokens
   * @param residenceMs mean time that a token stays in memory, in milliseconds
   */
  static double memoryWaitMs(Load load, long tokens, long capacity, double residenceMs) {
    double over = load.residentTokens() + tokens - MEMORY_FRACTION * capacity;
    if (capacity <= 0 || over <= 0 || load.residentTokens() <= 0) {
      return 0;
    }
    return Math.min(1, over / load.residentTokens()) * residenceMs;
  }
}

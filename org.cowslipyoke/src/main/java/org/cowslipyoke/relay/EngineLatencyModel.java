package org.cowslipyoke.relay;

import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Latency model of an engine with continuous batching and chunked prefill. Each step generates one
 * token for every running request and prefills one chunk of the waiting prompts. Running requests
 * therefore slow down prefill ({@link EngineProfile}), and a prompt that does not fit the engine's
 * memory waits until running requests end.
 */
final class EngineLatencyModel {

  /**
   * Fraction of the memory that running requests fill before new ones wait. No reserve is needed on
   * top: a part shared by requests of several entries is counted once per entry, so the load is
   * overestimated.
   */
  static final double MEMORY_FRACTION = 1.0;

  private EngineLatencyModel() {}

  /**
   * Returns the number of prompt tokens that an engine prefills before a new prompt: those of
   * prompts that are as urgent or more, and at most one chunk of others, whose step has begun.
   *
   * @param load load of the engine without the prompt
   * @param rank {@link UrgencyRank} of the prompt
   */
  static long prefillTokensAhead(Load load, int rank, EngineProfile profile) {
    long ahead = load.upTo(rank).prefillTokens();
    long others = load.prefillTokens() - ahead;
    return ahead + Math.min(others, Math.round(profile.chunkTokens()));
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

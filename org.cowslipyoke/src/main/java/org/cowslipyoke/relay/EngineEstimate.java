package org.cowslipyoke.relay;

import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Expected times at a model engine that batches continuously. Each step of the batch writes one
 * token for every running request and reads one piece of the prompts that wait, so more running
 * requests slow reading, and prompts beyond the engine's memory wait until running ones end.
 */
final class EngineEstimate {

  /** Time to read a prompt token, in ms; 74.8 tokens a millisecond on the sheets of both users. */
  static final double READ_MS_PER_TOKEN = 1 / 74.8;

  /** Prompt tokens that are read in one step; from the sheets. */
  static final double PIECE_TOKENS = 1_024;

  /** Time of a step without reading, in milliseconds; from the sheets. */
  static final double STEP_MS = 4.84;

  /** Time by which each running request lengthens a step, in milliseconds; from the site files. */
  static final double STEP_MS_PER_REQUEST = 0.0725;

  /** Time to the first token beside reading, in milliseconds; from the site files. */
  static final double FIRST_TOKEN_MS = 70;

  /**
   * Part of the memory that running requests fill before newer ones wait. All of it: requests of
   * several entries that share a part count it once each, which is a reserve.
   */
  static final double MEMORY_PART = 1.0;

  private EngineEstimate() {}

  /** Returns the time in which an engine with this many running requests reads tokens, in ms. */
  static double readMs(long tokens, int running) {
    double step = STEP_MS + STEP_MS_PER_REQUEST * running;
    return tokens * (READ_MS_PER_TOKEN + step / PIECE_TOKENS);
  }

  /**
   * Returns the time until running requests leave room for another one, in milliseconds.
   *
   * @param load work at the engine without the request
   * @param tokens tokens that the request keeps in memory
   * @param capacity tokens that fit the engine's memory
   * @param residenceMs mean time for which a token stays
   */
  static double memoryWaitMs(Load load, long tokens, long capacity, double residenceMs) {
    double over = load.residentTokens() + tokens - MEMORY_PART * capacity;
    if (capacity <= 0 || over <= 0 || load.residentTokens() <= 0) {
      return 0;
    }
    return Math.min(1, over / load.residentTokens()) * residenceMs;
  }
}

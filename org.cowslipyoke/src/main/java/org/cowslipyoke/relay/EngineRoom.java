package org.cowslipyoke.relay;

import org.cowslipyoke.relay.PeerLoads.Load;

/** Decides whether an engine may get a prompt now without harm to other requests. */
@FunctionalInterface
public interface EngineRoom {

  /** Every engine may get the prompt. */
  EngineRoom ANY = (load, work, addedTokens, profile) -> true;

  /**
   * Returns whether an engine has room.
   *
   * @param load load of the engine from all entries, without the prompt
   * @param work work that the prompt adds
   * @param addedTokens tokens that the prompt adds to the engine's memory
   */
  boolean hasRoom(Load load, PromptWork work, long addedTokens, EngineProfile profile);

  /**
   * Returns by how much a prompt makes an engine less preferable for the sake of other requests, in
   * milliseconds.
   *
   * @param load load of the engine from all entries, without the prompt
   */
  default double costMs(Load load, PromptWork work, EngineProfile profile) {
    return 0;
  }
}

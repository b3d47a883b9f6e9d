package org.cowslipyoke.relay;

import org.cowslipyoke.relay.PeerLoads.Load;

/** Decides whether an engine may get a prompt now without harm to other requests. */
@FunctionalInterface
public interface EngineRoom {

  /** Every engine may get the prompt. */
  EngineRoom ANY = (load, work, profile) -> true;

  /**
   * Returns whether an engine has room.
   *
   * @param load load of the engine from all entries, without the prompt
   * @param work work that the prompt adds
   */
  boolean hasRoom(Load load, PromptWork work, EngineProfile profile);
}

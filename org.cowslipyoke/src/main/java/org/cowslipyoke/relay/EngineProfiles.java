package org.cowslipyoke.relay;

/** Source of the profiles of engines. */
@FunctionalInterface
public interface EngineProfiles {

  /** Uses {@link EngineProfile#INITIAL} for each engine. */
  EngineProfiles FIXED = server -> EngineProfile.INITIAL;

  /** Returns the current profile of an engine. */
  EngineProfile of(BackendServer server);
}

package org.cowslipyoke.transport;

/** Versions that each outgoing frame carries; read for every frame, so it must be cheap. */
public interface DocumentVersions {

  /** Returns the head version of the configuration in force, 0 if there is none. */
  long configVersion();

  /** Returns the version of the suspects list, 0 if there is none. */
  long suspectsVersion();
}

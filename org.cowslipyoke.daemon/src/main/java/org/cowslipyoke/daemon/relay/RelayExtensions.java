package org.cowslipyoke.daemon.relay;

import java.util.List;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.CandidateFilter;
import org.cowslipyoke.relay.CrossingCost;
import org.cowslipyoke.relay.EngineProfiles;

/**
 * Decisions that a deployment adds to the relay.
 *
 * @param filters applied in order to the candidates of each request
 * @param observers told of each attempt
 * @param profiles profiles of the engines
 * @param crossing cost of servers in other failure domains
 */
public record RelayExtensions(
    List<CandidateFilter> filters,
    List<AttemptObserver> observers,
    EngineProfiles profiles,
    CrossingCost crossing) {

  /** No additional decisions. */
  public static final RelayExtensions NONE =
      new RelayExtensions(List.of(), List.of(), EngineProfiles.FIXED, CrossingCost.FIXED);
}

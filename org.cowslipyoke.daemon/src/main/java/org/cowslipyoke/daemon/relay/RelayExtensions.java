package org.cowslipyoke.daemon.relay;

import java.util.List;
import java.util.stream.Stream;
import org.cowslipyoke.failover.BackupPlanner;
import org.cowslipyoke.failover.EngineLiveness;
import org.cowslipyoke.relay.AttemptObserver;
import org.cowslipyoke.relay.CandidateFilter;
import org.cowslipyoke.relay.CrossingCost;
import org.cowslipyoke.relay.EngineProfiles;
import org.cowslipyoke.stream.StreamOrigins;
import org.jspecify.annotations.Nullable;

/**
 * Decisions that a deployment adds to the relay.
 *
 * @param filters applied in order to the candidates of each request
 * @param observers told of each attempt
 * @param profiles profiles of the engines
 * @param crossing cost of servers in other failure domains
 * @param failover decisions about runs that go on at another server, null if none do
 * @param streams versions that began streams, null if only this process knows them
 */
public record RelayExtensions(
    List<CandidateFilter> filters,
    List<AttemptObserver> observers,
    EngineProfiles profiles,
    CrossingCost crossing,
    @Nullable Failover failover,
    @Nullable StreamOrigins streams) {

  /**
   * Decisions about runs that go on at another server.
   *
   * @param liveness finds engines that have fallen silent; must also be among filters and observers
   * @param planner chooses the servers that runs are copied to
   */
  public record Failover(EngineLiveness liveness, BackupPlanner planner) {}

  /** Creates extensions with which no run goes on at another server. */
  public RelayExtensions(
      List<CandidateFilter> filters,
      List<AttemptObserver> observers,
      EngineProfiles profiles,
      CrossingCost crossing) {
    this(filters, observers, profiles, crossing, null);
  }

  /** Creates extensions with which only this process knows the versions that began streams. */
  public RelayExtensions(
      List<CandidateFilter> filters,
      List<AttemptObserver> observers,
      EngineProfiles profiles,
      CrossingCost crossing,
      @Nullable Failover failover) {
    this(filters, observers, profiles, crossing, failover, null);
  }

  /** Returns extensions with another observer. */
  RelayExtensions with(AttemptObserver observer) {
    List<AttemptObserver> all = Stream.concat(observers.stream(), Stream.of(observer)).toList();
    return new RelayExtensions(filters, all, profiles, crossing, failover, streams);
  }

  /** Returns extensions with the versions that began streams. */
  public RelayExtensions withStreams(StreamOrigins origins) {
    return new RelayExtensions(filters, observers, profiles, crossing, failover, origins);
  }

  /** No additional decisions. */
  public static final RelayExtensions NONE =
      new RelayExtensions(List.of(), List.of(), EngineProfiles.FIXED, CrossingCost.FIXED);
}

package org.cowslipyoke.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipyoke.relay.PeerLoads.Load;

/**
 * Reads the pressure of each failure domain from the loads that the entries report. Servers that
 * are cold or unresponsive are not capacity.
 */
public final class DomainPressureReader {

  /**
   * Time beyond the expected one without an end of a prefill from which a failure domain counts as
   * stalled, in milliseconds; above the usual errors of the expected time.
   */
  static final double STALL_SLACK_MS = 100;

  private final ServerLoads loads;
  private final PeerLoads peers;
  private final SilentServers silentServers;
  private final EngineProfiles profiles;

  /** Creates a reader of the loads of an entry and its peers. */
  public DomainPressureReader(
      ServerLoads loads, PeerLoads peers, SilentServers silentServers, EngineProfiles profiles) {
    this.loads = loads;
    this.peers = peers;
    this.silentServers = silentServers;
    this.profiles = profiles;
  }

  /** Returns whether at least half of the other entries report their loads. */
  boolean isFleetKnown(FleetState state) {
    return 2 * peers.freshCount() >= state.entries() - 1;
  }

  /**
   * Returns the pressure by failure domain; domains without a usable server are omitted.
   *
   * @param promptTokens mean length of a prompt of the service in tokens
   */
  Map<String, DomainPressure> read(FleetState state, String service, long promptTokens) {
    DesiredState desired = state.desired();
    ServerGroup group = desired == null ? null : desired.groups().get(service);
    if (group == null) {
      return Map.of();
    }
    List<BackendServer> listed = state.available(service);
    boolean pollingSound = silentServers.isOwnPollingSound(listed);
    Map<String, List<BackendServer>> byDomain = new HashMap<>();
    for (BackendServer s : listed) {
      boolean cold = group.coldRequestsPerSecond() > 0 && s.coldMs() > 0;
      if (!cold && !silentServers.isUnresponsive(s, pollingSound)) {
        byDomain.computeIfAbsent(s.failureDomain(), d -> new ArrayList<>()).add(s);
      }
    }
    FleetLoad fleet = FleetLoad.of(loads, peers, listed, state.entries());
    double response = meanResponseMs(listed);
    Map<String, DomainPressure> pressures = new HashMap<>();
    byDomain.forEach(
        (domain, servers) ->
            pressures.put(domain, pressure(fleet, group, servers, promptTokens, response)));
    return pressures;
  }

  /**
   * Returns whether the engines of a failure domain seem to have stopped: a prompt of this entry is
   * overdue there, and none has ended its prefill meanwhile.
   */
  boolean isStalled(FleetState state, String service, String domain, long promptTokens) {
    ServerGroup group = state.desired() == null ? null : state.desired().groups().get(service);
    if (group == null || group.engine() == null) {
      return false;
    }
    List<BackendServer> servers =
        state.available(service).stream().filter(s -> s.failureDomain().equals(domain)).toList();
    FleetLoad fleet = FleetLoad.of(loads, peers, servers, state.entries());
    long overdueMs = 0;
    long quietMs = Long.MAX_VALUE;
    for (BackendServer s : servers) {
      double expectedMs =
          profiles.of(s).firstTokenOverheadMs()
              + promptQueueMs(s, fleet.loadAt(s), group.engine(), promptTokens);
      long waitingMs = loads.of(s).waitingMs();
      if (waitingMs > expectedMs + STALL_SLACK_MS) {
        overdueMs = Math.max(overdueMs, waitingMs);
      }
      quietMs = Math.min(quietMs, loads.of(s).sincePrefillEndMs());
    }
    return overdueMs > 0 && quietMs >= overdueMs;
  }

  private DomainPressure pressure(
      FleetLoad fleet,
      ServerGroup group,
      List<BackendServer> servers,
      long promptTokens,
      double meanResponseMs) {
    double expectedMs = Double.MAX_VALUE;
    double queueMs = Double.MAX_VALUE;
    long inFlight = 0;
    long slots = 0;
    for (BackendServer s : servers) {
      Load load = fleet.loadAt(s);
      double queued =
          group.engine() == null
              ? plainQueueMs(s, load, meanResponseMs)
              : promptQueueMs(s, load, group.engine(), promptTokens);
      queueMs = Math.min(queueMs, queued);
      expectedMs = Math.min(expectedMs, queued + otherMs(s, group, meanResponseMs));
      inFlight += load.inFlight();
      slots += Math.max(1, s.slots());
    }
    return new DomainPressure(servers.size(), expectedMs, queueMs, (double) inFlight / slots);
  }

  private double promptQueueMs(
      BackendServer server, Load load, ServerGroup.EngineConfig engine, long promptTokens) {
    return profiles.of(server).prefillMs(load.prefillTokens(), load.inFlight())
        + EngineLatencyModel.memoryWaitMs(
            load, promptTokens, engine.cacheTokens(), loads.residenceMs());
  }

  private double plainQueueMs(BackendServer server, Load load, double meanResponseMs) {
    int slots = Math.max(1, server.slots());
    int waiting = Math.max(0, load.inFlight() + 1 - slots);
    return waiting * responseMs(server, meanResponseMs) / slots;
  }

  private double otherMs(BackendServer server, ServerGroup group, double meanResponseMs) {
    ServerLoad own = loads.of(server);
    double ms = PromptPlacement.FAILURE_MS * own.recentFailures();
    ms += own.isFull() ? PromptPlacement.FULL_MS : 0;
    ms += own.isLoading() ? PromptPlacement.LOADING_MS : 0;
    return ms + (group.engine() == null ? responseMs(server, meanResponseMs) : 0);
  }

  private double responseMs(BackendServer server, double meanResponseMs) {
    double own = loads.of(server).responseMs();
    return own > 0 ? own : meanResponseMs;
  }

  /** Returns the mean over the servers that have answered this entry. */
  private double meanResponseMs(List<BackendServer> servers) {
    return servers.stream()
        .mapToDouble(s -> loads.of(s).responseMs())
        .filter(ms -> ms > 0)
        .average()
        .orElse(0);
  }
}

package org.cowslipyoke.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.util.Clock;

/**
 * When servers and versions were first listed. A version that appears beside others is held back
 * until an order for it would be known, because its servers may be listed before the order.
 * Thread-safe.
 */
final class VersionSightings {

  /** Minimum time for which a new version is held back, in milliseconds. */
  static final long HOLD_MS = 1_500;

  /** Time for which a new server's response times are not compared, in milliseconds. */
  static final long WARM_MS = 3_000;

  private record Version(String service, String software) {}

  private final Clock clock;
  private final Map<Version, Long> versions = new HashMap<>();
  private final Set<Version> usable = new HashSet<>();
  private final Map<String, Long> servers = new HashMap<>();
  private Map<String, BackendServer> last = Map.of();

  VersionSightings(Clock clock) {
    this.clock = clock;
  }

  /** Records the listed servers. */
  synchronized void observe(FleetState state) {
    Map<String, BackendServer> listed = state.servers();
    if (listed == last) {
      return;
    }
    final boolean first = last.isEmpty();
    last = listed;
    long now = clock.nowMs();
    Set<String> known = new HashSet<>();
    versions.keySet().forEach(v -> known.add(v.service()));
    Set<Version> present = new HashSet<>();
    Set<String> incarnations = new HashSet<>();
    for (BackendServer s : listed.values()) {
      Version v = new Version(s.group(), s.software());
      present.add(v);
      incarnations.add(s.incarnation());
      servers.putIfAbsent(s.incarnation(), first ? now - WARM_MS : now);
      if (versions.putIfAbsent(v, now) == null && !known.contains(s.group())) {
        usable.add(v);
      }
    }
    servers.keySet().retainAll(incarnations);
    // A version stays known while its service has servers, so that a restart of all is not new.
    Set<String> services = new HashSet<>();
    present.forEach(v -> services.add(v.service()));
    versions.keySet().removeIf(v -> !present.contains(v) && services.contains(v.service()));
    usable.retainAll(versions.keySet());
  }

  /** Returns whether a server may be used if there is no order for its service. */
  synchronized boolean isUsable(BackendServer s, FleetState state) {
    Version v = new Version(s.group(), s.software());
    if (usable.contains(v)) {
      return true;
    }
    Long seenMs = versions.get(v);
    if (seenMs == null) {
      return false;
    }
    if (clock.nowMs() - seenMs >= HOLD_MS && state.operatorConfigReadMs() > seenMs) {
      usable.add(v);
      return true;
    }
    return false;
  }

  /** Returns whether a version is in use without an order. */
  synchronized boolean isEstablished(String service, String software) {
    return usable.contains(new Version(service, software));
  }

  /** Returns whether a server has been listed long enough for its times to be compared. */
  synchronized boolean isWarm(BackendServer s) {
    Long seenMs = servers.get(s.incarnation());
    return seenMs != null && clock.nowMs() - seenMs >= WARM_MS;
  }
}

package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which share of an entry's requests for one service leaves its failure domain, and where
 * to. The share is integrated from the time that callers gain, with hysteresis, so that entries
 * that see the same loads don't all leave or return at once. Not thread-safe.
 */
final class OverflowController {

  /**
   * Time that callers must gain before a share rises, in milliseconds; a tenth of the objectives of
   * users.
   */
  static final double ENTER_GAIN_MS = 30;

  /** Gain at which the share moves at its full rate, in milliseconds. */
  static final double FULL_GAIN_MS = 100;

  /** Rate at which a share rises at most, per second; several reports arrive while it does. */
  static final double RISE_PER_SECOND = 1.0;

  /** Rate at which a share falls at most, per second. */
  static final double FALL_PER_SECOND = 0.5;

  /** Rate at which a share falls at least once there is nothing to gain, per second. */
  static final double MIN_FALL_PER_SECOND = 0.1;

  /** Time constant with which the share into a domain without room falls, in milliseconds. */
  static final double RETREAT_MS = 300;

  /**
   * Maximum wait that overflow may cause to the callers of the receiving failure domain, as a
   * fraction of their objective. The rest is left for their own prompts and for the reports that
   * are under way.
   */
  static final double MAX_AWAY_QUEUE = 0.5;

  /** Maximum fraction of the receiving domain's slots that may be used with overflow. */
  static final double MAX_AWAY_OCCUPANCY = 0.9;

  /** Fraction of both maxima below which a domain without room has room again. */
  static final double ROOM_AGAIN = 0.6;

  /** Maximum share while home has servers; the rest shows how they fare. */
  static final double MAX_SHARE = 0.95;

  /** Time constant with which observed times are averaged, in milliseconds. */
  static final double AVERAGING_MS = 1_000;

  /** Longest time for which one step integrates, in milliseconds. */
  static final long MAX_STEP_MS = 1_000;

  /** Sum of the shares from which requests count as leaving, and below which they don't. */
  private static final double LEAVING_SHARE = 0.02;

  private static final double STAYING_SHARE = 0.002;

  /** How the requests of a service are placed. */
  enum Regime {
    /** The entry's own failure domain has room. */
    HOME,
    /** It is short, and a share leaves. */
    OVERFLOW,
    /** It is short, but no other domain has room. */
    NO_ROOM,
    /** It has no usable server, so all requests leave. */
    NO_HOME,
    /** Too few entries report their loads; each request is placed by its own gain and cost. */
    UNKNOWN
  }

  private final String home;
  private final Map<String, DomainPressure> averages = new HashMap<>();
  private final Map<String, Double> shares = new HashMap<>();
  private final Set<String> withoutRoom = new HashSet<>();
  private Regime regime = Regime.HOME;
  private long steppedMs;
  private boolean started;

  /** Creates the controller of an entry in a failure domain. */
  OverflowController(String home) {
    this.home = home;
  }

  Regime regime() {
    return regime;
  }

  /** Returns the share of the requests that leave for a failure domain. */
  double share(String domain) {
    return shares.getOrDefault(domain, 0.0);
  }

  /** Returns the share of the requests that leave. */
  double totalShare() {
    return shares.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns whether overflow would push out the callers of a failure domain. */
  boolean hasRoom(String domain) {
    return !withoutRoom.contains(domain);
  }

  /** Returns the averaged pressure of the entry's own failure domain. */
  DomainPressure homePressure() {
    return averages.getOrDefault(home, DomainPressure.NONE);
  }

  /** Returns whether a request with the given draw is one of those that leave for a domain. */
  boolean isLeaving(String domain, double draw) {
    double from = 0;
    for (Map.Entry<String, Double> e : shares.entrySet()) {
      double to = from + e.getValue();
      if (e.getKey().equals(domain)) {
        return draw >= from && draw < to;
      }
      from = to;
    }
    return false;
  }

  /**
   * Moves the shares.
   *
   * @param pressures pressure by failure domain; domains without usable servers are omitted
   * @param objectiveMs objective of the service's callers in milliseconds
   * @param crossingMs cost of a crossing in milliseconds
   */
  void step(
      long nowMs, Map<String, DomainPressure> pressures, double objectiveMs, double crossingMs) {
    long elapsedMs = started ? Math.min(MAX_STEP_MS, nowMs - steppedMs) : MAX_STEP_MS;
    started = true;
    steppedMs = nowMs;
    average(pressures, elapsedMs);
    updateRoom(objectiveMs);
    shares.keySet().retainAll(averages.keySet());
    if (!averages.containsKey(home)) {
      leaveByNecessity();
    } else {
      moveShares(elapsedMs, crossingMs);
    }
    regime = nextRegime();
  }

  /** Forgets what was observed, because too few entries report their loads. */
  void suspend() {
    averages.clear();
    shares.clear();
    withoutRoom.clear();
    started = false;
    regime = Regime.UNKNOWN;
  }

  private void average(Map<String, DomainPressure> pressures, long elapsedMs) {
    double weight = 1 - Math.exp(-elapsedMs / AVERAGING_MS);
    averages.keySet().retainAll(pressures.keySet());
    pressures.forEach(
        (domain, now) ->
            averages.merge(
                domain,
                now,
                (old, x) ->
                    new DomainPressure(
                        x.servers(),
                        mix(old.expectedMs(), x.expectedMs(), weight),
                        mix(old.queueMs(), x.queueMs(), weight),
                        mix(old.occupancy(), x.occupancy(), weight))));
  }

  private static double mix(double old, double now, double weight) {
    return old + weight * (now - old);
  }

  private void updateRoom(double objectiveMs) {
    withoutRoom.retainAll(averages.keySet());
    averages.forEach(
        (domain, p) -> {
          if (p.queueMs() > MAX_AWAY_QUEUE * objectiveMs || p.occupancy() > MAX_AWAY_OCCUPANCY) {
            withoutRoom.add(domain);
          } else if (p.queueMs() < ROOM_AGAIN * MAX_AWAY_QUEUE * objectiveMs
              && p.occupancy() < ROOM_AGAIN * MAX_AWAY_OCCUPANCY) {
            withoutRoom.remove(domain);
          }
        });
  }

  /** Splits all requests over the other failure domains by the capacity that they have left. */
  private void leaveByNecessity() {
    shares.clear();
    double spare = spareServers(false);
    double servers = averages.values().stream().mapToInt(DomainPressure::servers).sum();
    averages.forEach(
        (domain, p) ->
            shares.put(domain, spare > 0 ? p.spareServers() / spare : p.servers() / servers));
  }

  private void moveShares(long elapsedMs, double crossingMs) {
    DomainPressure own = homePressure();
    double spare = Math.max(spareServers(true), 1e-9);
    averages.forEach(
        (domain, p) -> {
          if (!domain.equals(home)) {
            double gainMs = own.expectedMs() - p.expectedMs() - crossingMs;
            double part = hasRoom(domain) ? p.spareServers() / spare : 0;
            shares.put(domain, moved(share(domain), gainMs, part, hasRoom(domain), elapsedMs));
          }
        });
    double total = totalShare();
    if (total > MAX_SHARE) {
      shares.replaceAll((domain, share) -> share * MAX_SHARE / total);
    }
  }

  private static double moved(
      double share, double gainMs, double part, boolean room, long elapsedMs) {
    double seconds = elapsedMs / 1_000.0;
    if (!room) {
      return share * Math.exp(-elapsedMs / RETREAT_MS);
    }
    if (gainMs > ENTER_GAIN_MS) {
      return share + part * seconds * RISE_PER_SECOND * Math.min(1, gainMs / FULL_GAIN_MS);
    }
    if (gainMs < 0) {
      double rate = FALL_PER_SECOND * Math.min(1, -gainMs / FULL_GAIN_MS);
      return Math.max(0, share - seconds * part(share, Math.max(MIN_FALL_PER_SECOND, rate)));
    }
    return share;
  }

  /** Slows the fall of a small share, so that it approaches its end smoothly. */
  private static double part(double share, double rate) {
    return share > 0.1 ? rate : Math.max(rate * share / 0.1, rate / 10);
  }

  private double spareServers(boolean withRoomOnly) {
    return averages.entrySet().stream()
        .filter(e -> !e.getKey().equals(home))
        .filter(e -> !withRoomOnly || hasRoom(e.getKey()))
        .mapToDouble(e -> e.getValue().spareServers())
        .sum();
  }

  private Regime nextRegime() {
    if (!averages.containsKey(home)) {
      return averages.isEmpty() ? regime : Regime.NO_HOME;
    }
    double total = totalShare();
    boolean leaving = total > (regime == Regime.OVERFLOW ? STAYING_SHARE : LEAVING_SHARE);
    if (leaving) {
      return Regime.OVERFLOW;
    }
    boolean others = averages.keySet().stream().anyMatch(d -> !d.equals(home) && hasRoom(d));
    return !hasRoom(home) && !others ? Regime.NO_ROOM : Regime.HOME;
  }
}

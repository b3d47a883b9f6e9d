package org.cowslipyoke.relay;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipyoke.relay.OverflowController.Regime;
import org.cowslipyoke.util.Clock;

/**
 * Cost of other failure domains by what a crossing gains and costs. A crossing costs its latency
 * and its bytes. Beyond that, requests stay in the failure domain of their entry, except for the
 * share that {@link OverflowController} lets leave, and those that gain more than {@link #STAY_MS},
 * such as prompts whose prefix only another domain has cached. Thread-safe.
 */
public final class DomainOverflow implements CrossingCost {

  /** Interval at which the shares of a service move while it gets requests, in milliseconds. */
  static final long INTERVAL_MS = 100;

  /**
   * Additional cost of leaving for a prompt that is not in the share that leaves, in milliseconds.
   * Below the time to prefill a shared prefix of usual size, above the usual differences between
   * queues.
   */
  static final double STAY_MS = 100;

  /** The same for a request of a plain service, in requests in flight. */
  static final double STAY_REQUESTS = 2;

  /**
   * Time in milliseconds for which callers may leave freely after the engines of home were found
   * stalled. Prompts whose callers gave up leave the engines without a queue, and look idle until
   * their silence is noticed.
   */
  static final long STALL_HOLD_MS = 1_000;

  /**
   * Additional cost of a failure domain whose own callers overflow would push out, in milliseconds;
   * above the objectives of prompts, below the cost of a server that does not respond.
   */
  static final double NO_ROOM_MS = 1_000;

  /** The same for a request of a plain service, in requests in flight. */
  static final double NO_ROOM_REQUESTS = 8;

  /** Time that one request in flight at a plain service counts as, in milliseconds. */
  private static final double MS_PER_REQUEST =
      PromptPlacement.REMOTE_MS / ServicePlacement.REMOTE_WEIGHT;

  private static final double BYTES_PER_MEGABYTE = 1e6;

  /** Weight of the latest request in the mean size of the requests of a service. */
  private static final double SIZE_WEIGHT = 0.01;

  /**
   * What a crossing costs.
   *
   * @param latencyMs one-way latency between failure domains, in milliseconds
   * @param msPerMegabyte time of callers that a megabyte between failure domains is worth, in
   *     milliseconds
   */
  public record Settings(double latencyMs, double msPerMegabyte) {

    /** Makes a prompt of 9,000 tokens cost 10 ms, as each crossing did before. */
    public static final Settings DEFAULT = new Settings(0.5, 250);
  }

  /**
   * State of a service for logs and metrics.
   *
   * @param regime name of the regime in lower case
   * @param shares share of the requests that leaves, by failure domain
   * @param homeMs time that a request is expected to take in the entry's own failure domain beyond
   *     that at an idle server
   */
  public record Status(
      String service, String regime, String reason, Map<String, Double> shares, double homeMs) {}

  /** Is told of each change of regime and each move of the shares; must not block. */
  public interface Listener {

    /** Does nothing. */
    Listener NONE = (before, now) -> {};

    /** Handles a step; the regimes differ if there was a change. */
    void stepped(String before, Status now);
  }

  private final Clock clock;
  private final String ownDomain;
  private final FleetStateHolder state;
  private final DomainPressureReader pressures;
  private final Settings settings;
  private final Listener listener;
  private final Map<String, Service> services = new ConcurrentHashMap<>();

  /** Creates the costs of an entry in the given failure domain. */
  public DomainOverflow(
      Clock clock,
      String ownDomain,
      FleetStateHolder state,
      DomainPressureReader pressures,
      Settings settings,
      Listener listener) {
    this.clock = clock;
    this.ownDomain = ownDomain;
    this.state = state;
    this.pressures = pressures;
    this.settings = settings;
    this.listener = listener;
  }

  /** State of one service; guarded by itself. */
  private static final class Service {
    private final OverflowController controller;
    private double meanBytes;
    private long nextStepMs = Long.MIN_VALUE;
    private long stalledUntilMs = Long.MIN_VALUE;

    Service(String home) {
      controller = new OverflowController(home);
    }
  }

  @Override
  public double promptMs(String service, String domain, Crossing crossing) {
    Service s = service(service);
    synchronized (s) {
      update(service, s, crossing);
      OverflowController c = s.controller;
      double ms = crossingMs((double) crossing.bytes());
      if (c.regime() == Regime.UNKNOWN || c.isLeaving(domain, crossing.draw())) {
        return ms;
      }
      // Prompts that wait at stalled engines end unseen, so that home must not win by its short
      // queue.
      double stay = clock.nowMs() < s.stalledUntilMs ? -STAY_MS : STAY_MS;
      return ms + stay + (isClosed(c, domain) ? NO_ROOM_MS : 0);
    }
  }

  @Override
  public double requests(String service, String domain, Crossing crossing) {
    Service s = service(service);
    synchronized (s) {
      update(service, s, crossing);
      OverflowController c = s.controller;
      double requests = crossingMs((double) crossing.bytes()) / MS_PER_REQUEST;
      if (c.regime() == Regime.UNKNOWN) {
        return requests;
      }
      if (c.isLeaving(domain, crossing.draw())) {
        // Placement knows the loads of other entries only through the share, so that home must not
        // win by a smaller load from this entry.
        return requests - STAY_REQUESTS;
      }
      return requests + STAY_REQUESTS + (isClosed(c, domain) ? NO_ROOM_REQUESTS : 0);
    }
  }

  /** Returns whether only callers without a server at home may add to the load of a domain. */
  private static boolean isClosed(OverflowController c, String domain) {
    return c.regime() != Regime.NO_HOME && !c.hasRoom(domain);
  }

  private Service service(String name) {
    return services.computeIfAbsent(name, n -> new Service(ownDomain));
  }

  private double crossingMs(double bytes) {
    return 2 * settings.latencyMs() + settings.msPerMegabyte() * bytes / BYTES_PER_MEGABYTE;
  }

  private void update(String name, Service s, Crossing crossing) {
    s.meanBytes =
        s.meanBytes == 0
            ? (double) crossing.bytes()
            : s.meanBytes + SIZE_WEIGHT * ((double) crossing.bytes() - s.meanBytes);
    long now = clock.nowMs();
    if (now < s.nextStepMs) {
      return;
    }
    s.nextStepMs = now + INTERVAL_MS;
    FleetState fleet = state.get();
    long promptTokens = Math.round(s.meanBytes / PromptPlacement.BYTES_PER_TOKEN);
    if (pressures.isStalled(fleet, name, ownDomain, promptTokens)) {
      s.stalledUntilMs = now + STALL_HOLD_MS;
    }
    Map<String, DomainPressure> read = pressures.read(fleet, name, promptTokens);
    String before = regimeName(s.controller);
    if (pressures.isFleetKnown(fleet)) {
      s.controller.step(now, read, objectiveMs(fleet, name), crossingMs(s.meanBytes));
    } else {
      s.controller.suspend();
    }
    listener.stepped(before, status(name, s.controller, fleet, read));
  }

  private static double objectiveMs(FleetState fleet, String service) {
    DesiredState desired = fleet.desired();
    return desired == null
        ? LoadShedder.DEFAULT_OBJECTIVE_MS
        : desired.routes().shortestObjectiveMs(service).orElse(LoadShedder.DEFAULT_OBJECTIVE_MS);
  }

  private static String regimeName(OverflowController c) {
    return c.regime().name().toLowerCase(Locale.ROOT);
  }

  private Status status(
      String name, OverflowController c, FleetState fleet, Map<String, DomainPressure> read) {
    Map<String, Double> shares = new HashMap<>();
    Set<String> domains = new TreeSet<>(read.keySet());
    domains.remove(ownDomain);
    domains.forEach(d -> shares.put(d, c.share(d)));
    return new Status(
        name, regimeName(c), reason(name, c, fleet), shares, c.homePressure().expectedMs());
  }

  private String reason(String name, OverflowController c, FleetState fleet) {
    return switch (c.regime()) {
      case HOME -> "room";
      case OVERFLOW -> c.homePressure().queueMs() > 0 ? "queue" : "failures";
      case NO_ROOM -> "all domains full";
      case NO_HOME -> noHomeReason(name, fleet);
      case UNKNOWN -> "reports missing";
    };
  }

  private String noHomeReason(String name, FleetState fleet) {
    if (fleet.domainsOut().contains(ownDomain)) {
      return "taken out";
    }
    boolean listed =
        fleet.available(name).stream().anyMatch(s -> s.failureDomain().equals(ownDomain));
    return listed ? "cold or unresponsive" : "no server";
  }
}

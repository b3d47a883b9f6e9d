package org.cowslipyoke.failover;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cowslipyoke.relay.BackendServer;
import org.cowslipyoke.relay.FleetState;
import org.cowslipyoke.relay.PeerLoads;
import org.cowslipyoke.relay.Prompt;
import org.cowslipyoke.relay.PromptPlan;
import org.cowslipyoke.relay.RequestKind;
import org.cowslipyoke.relay.Route;
import org.cowslipyoke.relay.ServerGroup;
import org.cowslipyoke.relay.ServerLoad;
import org.cowslipyoke.relay.ServerLoads;

/**
 * Decides which runs are copied to a backup server as they grow, and to which one. Copied are
 * streams that must not be retried, if the expected loss of the answer costs more than the transfer
 * of its memory and the work that the copy may push out of the backup's memory. Uses no I/O.
 */
public final class BackupPlanner {

  /**
   * Fraction of a server's memory up to which runs and copies push nothing out. The rest is for
   * prompts that arrive while the copy lasts: a long prompt takes a seventh of an engine's memory,
   * and entries learn of each other's prompts with a delay. With a limit of 0.85 and copies unknown
   * to other entries, 86 instead of 19 runs were pushed out in eight seconds.
   */
  static final double FREE_MEMORY_FRACTION = 0.6;

  /**
   * Mean fraction of the engines' memory in use from which nothing is copied: what is free at one
   * engine is then needed by prompts that wait for others. Copies into such gaps raised the refused
   * prompts of an overloaded fleet by a sixth.
   */
  static final double MAX_FLEET_FRACTION = 1.0;

  /** Factor by which transfers between failure domains are dearer, at most, as users state. */
  static final double REMOTE_COST_FACTOR = 2;

  /**
   * Prices of a copy and of what it saves.
   *
   * @param transferMsPerGb price of moving a gigabyte between engines, in milliseconds of callers'
   *     waiting time
   * @param answerMs worth of a whole answer in the same unit
   * @param savedFraction fraction of that worth that an answer keeps which goes on from a copy;
   *     less than 1 because the pause may make it late
   * @param displacedFraction fraction of that worth that a run loses which is pushed out of memory,
   *     because it is read again and late
   */
  public record Prices(
      double transferMsPerGb, double answerMs, double savedFraction, double displacedFraction) {

    /**
     * Prices of the first deployments: moving 21 to 60 GB costs as much as losing one answer, and
     * about half of the answers that go on are late. A late answer is worth 0.17 to 0.46 of one in
     * time.
     */
    public static final Prices DEFAULT = new Prices(20, 1_000, 0.5, 0.7);
  }

  /** Why a run has no copy, or that it has one. */
  public enum Decision {
    /** The run is copied. */
    COPIED,
    /** The request may be retried, or its engines copy no runs. */
    NOT_OFFERED,
    /** The transfer costs more than the expected loss. */
    NOT_WORTH,
    /** No usable server has memory that is free at that price. */
    NO_ROOM
  }

  /**
   * Result of the decision.
   *
   * @param server server that gets the copy, empty if there is none
   * @param tokens expected size of the copy in tokens
   * @param keptMs time for which the server keeps the copy of a run that is lost, in milliseconds
   */
  public record Choice(
      Decision decision, Optional<BackendServer> server, long tokens, long keptMs) {

    private static Choice none(Decision d) {
      return new Choice(d, Optional.empty(), 0, 0);
    }
  }

  private final ServerLoads loads;
  private final PeerLoads peers;
  private final EngineLiveness liveness;
  private final LossRate losses;
  private final CopyLedger copies;
  private final Prices prices;
  private final RandomGenerator random;

  /** Creates the decision of an entry. */
  public BackupPlanner(
      ServerLoads loads,
      PeerLoads peers,
      EngineLiveness liveness,
      LossRate losses,
      CopyLedger copies,
      Prices prices,
      RandomGenerator random) {
    this.loads = loads;
    this.peers = peers;
    this.liveness = liveness;
    this.losses = losses;
    this.copies = copies;
    this.prices = prices;
    this.random = random;
  }

  /**
   * Chooses the backup of a run.
   *
   * @param plan placement of the run; the backup has the same software and weights and a prompt of
   *     the same organisation, so that its copy may be used under the same rules
   */
  public Choice choose(
      Route route, Prompt prompt, PromptPlan plan, FleetState state, ServerGroup group) {
    ServerGroup.EngineConfig engine = group.engine();
    if (engine == null
        || !engine.backups()
        || route.kind() != RequestKind.STREAM
        || route.isRetryable()) {
      return Choice.none(Decision.NOT_OFFERED);
    }
    copies.expire();
    long tokens = (long) prompt.promptTokens() + prompt.expectedAnswerTokens();
    double gainMs = losses.of(group.name()) * prices.savedFraction() * prices.answerMs();
    double costMs = tokens * engine.bytesPerToken() / 1e9 * prices.transferMsPerGb();
    if (gainMs < costMs) {
      return Choice.none(Decision.NOT_WORTH);
    }
    List<BackendServer> all = state.available(group.name());
    if (fleetFraction(all, state, engine) >= MAX_FLEET_FRACTION) {
      return Choice.none(Decision.NO_ROOM);
    }
    List<Target> roomy =
        all.stream()
            .filter(s -> isUsable(s, prompt.model(), plan))
            .map(s -> target(s, plan, state, engine, tokens))
            .filter(t -> gainMs >= costMs * t.crossing() + displacedMs(t.usedFraction()))
            .toList();
    List<Target> remote = roomy.stream().filter(t -> t.crossing() > 1).toList();
    Optional<BackendServer> server = emptier(remote.isEmpty() ? roomy : remote);
    return server.isEmpty()
        ? Choice.none(Decision.NO_ROOM)
        : new Choice(Decision.COPIED, server, tokens, engine.copyMs());
  }

  /**
   * A server that could get the copy.
   *
   * @param crossing factor on the price of the transfer, above 1 in another failure domain
   * @param usedFraction fraction of its memory that is in use with the copy
   */
  private record Target(BackendServer server, double crossing, double usedFraction) {}

  private Target target(
      BackendServer s,
      PromptPlan plan,
      FleetState state,
      ServerGroup.EngineConfig engine,
      long tokens) {
    double crossing = isNear(s, plan) ? 1 : REMOTE_COST_FACTOR;
    return new Target(s, crossing, usedFraction(s, state, engine, tokens));
  }

  /**
   * Returns the price of the work that a copy is expected to push out of a server's memory, in
   * milliseconds of callers' waiting time. A copy takes about the memory of one run that must not
   * be retried, so it costs at most that run. The chance grows with the square of the memory used
   * beyond {@link #FREE_MEMORY_FRACTION}: it takes both a prompt that arrives meanwhile and a
   * memory that has no room for it.
   */
  private double displacedMs(double usedFraction) {
    double scarce = (usedFraction - FREE_MEMORY_FRACTION) / (1 - FREE_MEMORY_FRACTION);
    double chance = Math.pow(Math.min(1, Math.max(0, scarce)), 2);
    return chance * prices.displacedFraction() * prices.answerMs();
  }

  private static boolean isNear(BackendServer s, PromptPlan plan) {
    return s.failureDomain().equals(plan.server().failureDomain());
  }

  private boolean isUsable(BackendServer s, String model, PromptPlan plan) {
    ServerLoad load = loads.of(s);
    return !s.incarnation().equals(plan.server().incarnation())
        && s.software().equals(plan.server().software())
        && s.coldMs() <= 0
        && loads.weights(s, model) == plan.weights()
        && !load.isLoading()
        && !load.isFull()
        && !liveness.isAvoided(s);
  }

  /**
   * Returns the fraction of a server's memory that is in use with a further copy. Loads include the
   * copies of this entry and of those that report; each other one is assumed to take as much as the
   * mean of these.
   */
  private double usedFraction(
      BackendServer s, FleetState state, ServerGroup.EngineConfig engine, long tokens) {
    double known = loads.of(s).residentTokens() + peers.loadAt(s).residentTokens();
    int reporting = 1 + peers.freshCount();
    double used = known * Math.max(1.0, (double) state.entries() / reporting);
    return (used + tokens) / Math.max(1, engine.cacheTokens());
  }

  private double fleetFraction(
      List<BackendServer> all, FleetState state, ServerGroup.EngineConfig engine) {
    return all.stream().mapToDouble(s -> usedFraction(s, state, engine, 0)).average().orElse(0);
  }

  /** Returns the emptier of two random servers, so that entries don't all choose the same one. */
  private Optional<BackendServer> emptier(List<Target> servers) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    Target a = servers.get(random.nextInt(servers.size()));
    Target b = servers.get(random.nextInt(servers.size()));
    return Optional.of((a.usedFraction() <= b.usedFraction() ? a : b).server());
  }

  /** Records the copy of a run that is sent now. */
  public CopyLedger.Entry record(BackendServer server, Choice choice) {
    return copies.add(server, choice.tokens(), choice.keptMs());
  }
}

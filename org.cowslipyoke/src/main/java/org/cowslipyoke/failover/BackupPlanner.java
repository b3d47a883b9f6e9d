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
 * of its memory. Uses no I/O.
 */
public final class BackupPlanner {

  /**
   * Fraction of a server's memory that runs and copies may take together for a further copy, so
   * that its own runs can grow. With 0.6 most runs of a loaded fleet had no copy; a server without
   * room refuses a copy anyway.
   */
  static final double MAX_MEMORY_FRACTION = 0.85;

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
   */
  public record Prices(double transferMsPerGb, double answerMs, double savedFraction) {

    /**
     * Prices of the first deployments: moving 21 to 60 GB costs as much as losing one answer, and
     * about half of the answers that go on are late.
     */
    public static final Prices DEFAULT = new Prices(20, 1_000, 0.5);
  }

  /** Why a run has no copy, or that it has one. */
  public enum Decision {
    /** The run is copied. */
    COPIED,
    /** The request may be retried, or its engines copy no runs. */
    NOT_OFFERED,
    /** The transfer costs more than the expected loss. */
    NOT_WORTH,
    /** No server has room. */
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
   * @param plan placement of the run; the backup has the same weights and a prompt of the same
   *     organisation, so that its copy may be used under the same rules
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
    long tokens = (long) prompt.promptTokens() + prompt.expectedAnswerTokens();
    double gainMs = losses.of(group.name()) * prices.savedFraction() * prices.answerMs();
    double costMs = tokens * engine.bytesPerToken() / 1e9 * prices.transferMsPerGb();
    if (gainMs < costMs) {
      return Choice.none(Decision.NOT_WORTH);
    }
    List<BackendServer> roomy =
        state.available(group.name()).stream()
            .filter(s -> isUsable(s, prompt.model(), plan))
            .filter(s -> usedFraction(s, state, engine, tokens) <= MAX_MEMORY_FRACTION)
            .toList();
    boolean mayCross = gainMs >= REMOTE_COST_FACTOR * costMs;
    List<BackendServer> preferred =
        roomy.stream().filter(s -> isNear(s, plan) != mayCross).toList();
    List<BackendServer> others = mayCross ? roomy : List.of();
    Optional<BackendServer> server =
        emptier(preferred.isEmpty() ? others : preferred, state, engine, tokens);
    return server.isEmpty()
        ? Choice.none(Decision.NO_ROOM)
        : new Choice(Decision.COPIED, server, tokens, engine.copyMs());
  }

  private static boolean isNear(BackendServer s, PromptPlan plan) {
    return s.failureDomain().equals(plan.server().failureDomain());
  }

  private boolean isUsable(BackendServer s, String model, PromptPlan plan) {
    ServerLoad load = loads.of(s);
    return !s.incarnation().equals(plan.server().incarnation())
        && s.coldMs() <= 0
        && loads.weights(s, model) == plan.weights()
        && !load.isLoading()
        && !load.isFull()
        && !liveness.isAvoided(s);
  }

  /**
   * Returns the fraction of a server's memory that is in use with a further copy. Each other entry
   * is assumed to have as many copies there as this one. That holds copies back as memory fills:
   * spread evenly over all servers, the estimate let through so many that four times as many runs
   * were pushed out of memory as without copies.
   */
  private double usedFraction(
      BackendServer s, FleetState state, ServerGroup.EngineConfig engine, long tokens) {
    long resident = loads.of(s).residentTokens() + peers.loadAt(s).residentTokens();
    long copied = copies.tokensAt(s.incarnation()) * state.entries();
    return (double) (resident + copied + tokens) / Math.max(1, engine.cacheTokens());
  }

  /** Returns the emptier of two random servers, so that entries don't all choose the same one. */
  private Optional<BackendServer> emptier(
      List<BackendServer> servers, FleetState state, ServerGroup.EngineConfig engine, long tokens) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    BackendServer a = servers.get(random.nextInt(servers.size()));
    BackendServer b = servers.get(random.nextInt(servers.size()));
    boolean first =
        usedFraction(a, state, engine, tokens) <= usedFraction(b, state, engine, tokens);
    return Optional.of(first ? a : b);
  }

  /** Records the copy of a run that is sent now. */
  public CopyLedger.Entry record(Choice choice) {
    String incarnation = choice.server().map(BackendServer::incarnation).orElse("");
    return copies.add(incarnation, choice.tokens(), choice.keptMs());
  }
}

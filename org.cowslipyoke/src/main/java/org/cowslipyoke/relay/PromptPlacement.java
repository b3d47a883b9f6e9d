package org.cowslipyoke.relay;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipyoke.relay.CacheTransferPlanner.CachedPrefix;
import org.cowslipyoke.relay.CacheTransferPlanner.Nodes;
import org.cowslipyoke.relay.CrossingCost.Crossing;
import org.cowslipyoke.relay.PeerLoads.Load;
import org.cowslipyoke.relay.Prompt.Part;
import org.cowslipyoke.util.Clock;
import org.cowslipyoke.util.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Places each prompt on the server with the lowest expected time to the first token. A prompt goes
 * to a server that has its parts cached, until the queue there takes longer than to prefill or
 * fetch the parts elsewhere. A popular prefix therefore spreads over more servers as its load
 * grows.
 */
public final class PromptPlacement {

  /**
   * Cost per rank in the hash order, in milliseconds. Below the time to prefill a small part, so it
   * only breaks ties between servers of otherwise equal cost.
   */
  static final double RANK_MS = 2;

  /**
   * Cost of a server in another failure domain, in milliseconds: the prompt and its response cross
   * a link that users pay for. Below the time to prefill or to fetch a part of usual size.
   */
  static final double REMOTE_MS = 10;

  /** Cost of a server that recently refused a request for lack of capacity, in milliseconds. */
  static final double FULL_MS = 400;

  /** Cost of each recent failure of a server, in milliseconds. */
  static final double FAILURE_MS = 300;

  /**
   * Expected wait at a server that loads weights, in milliseconds; it refuses requests meanwhile.
   */
  static final double LOADING_MS = 2_500;

  /** Cost of outdated weights, in milliseconds; above any gain from cached parts. */
  static final double OLD_WEIGHTS_MS = 250;

  /** Factor by which transfers between failure domains take longer, as the platform states. */
  static final double REMOTE_TRANSFER_FACTOR = 2;

  /**
   * Expected wait at a server that does not answer its event reader, in milliseconds. Only a
   * penalty if the cause may be this entry, because a request must not be refused for that.
   */
  static final double UNRESPONSIVE_MS = 2_000;

  /** Size of a prompt's token in bytes, as the load model of the design counts it. */
  static final int BYTES_PER_TOKEN = 4;

  /** Size of a token of the response in bytes, an event of its own. */
  static final int BYTES_PER_EVENT = 100;

  private final Clock clock;
  private final String ownDomain;
  private final ServerLoads loads;
  private final PeerLoads peers;
  private final CacheDirectory directory;
  private final SilentServers silentServers;
  private final CacheTransferPlanner transfers;
  private final EngineProfiles profiles;
  private final CrossingCost crossing;
  private final long oldWeightsMaxMs;

  /**
   * Creates the placement of an entry.
   *
   * @param ownDomain failure domain of the entry
   * @param oldWeightsMaxMs time for which old weights are still used after this process learned of
   *     new ones, in milliseconds
   */
  public PromptPlacement(
      Clock clock,
      String ownDomain,
      ServerLoads loads,
      PeerLoads peers,
      CacheDirectory directory,
      CacheTransferPlanner kept,
      EngineProfiles profiles,
      CrossingCost crossing,
      long oldWeightsMaxMs) {
    this.clock = clock;
    this.ownDomain = ownDomain;
    this.loads = loads;
    this.peers = peers;
    this.directory = directory;
    this.silentServers = new SilentServers(directory);
    this.transfers = kept;
    this.profiles = profiles;
    this.crossing = crossing;
    this.oldWeightsMaxMs = oldWeightsMaxMs;
  }

  /** Inputs of the placement of one prompt. */
  private record PlacementContext(
      Prompt prompt,
      int rank,
      EngineRoom room,
      @Nullable String organisation,
      CacheIsolation isolation,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates,
      FleetLoad load,
      boolean pollingSound,
      Nodes nodes,
      Map<String, Integer> fetchableBySalt,
      Crossing crossing) {}

  /**
   * A server that could run the prompt, with its cost.
   *
   * @param expectedMs expected time to the first token in milliseconds
   * @param costMs the expected time plus penalties that make the server less preferable but need
   *     not delay the request
   */
  private record ScoredServer(
      BackendServer server,
      int weights,
      String salt,
      CachedPrefix held,
      int fetchedTokens,
      PromptWork work,
      Load load,
      double expectedMs,
      double costMs) {}

  /** Chooses a server for a prompt of the most urgent rank. */
  public Optional<PromptPlan> choose(
      Prompt p,
      @Nullable String organisation,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates) {
    return choose(
        p, UrgencyRank.MOST_URGENT, organisation, state, group, candidates, EngineRoom.ANY);
  }

  /**
   * Chooses a server; returns empty if no candidate has room and weights that may be used.
   *
   * @param rank {@link UrgencyRank} of the prompt
   * @param organisation owner of the prompt, null on an open route
   */
  public Optional<PromptPlan> choose(
      Prompt p,
      int rank,
      @Nullable String organisation,
      FleetState state,
      ServerGroup group,
      List<BackendServer> candidates,
      EngineRoom room) {
    List<BackendServer> order =
        Rendezvous.top(
            affinity(p).getBytes(StandardCharsets.UTF_8),
            candidates,
            BackendServer::id,
            candidates.size());
    PlacementContext context =
        new PlacementContext(
            p,
            rank,
            room,
            organisation,
            state.desired() == null ? CacheIsolation.NONE : state.desired().isolation(),
            state,
            group,
            candidates,
            FleetLoad.of(loads, peers, candidates, state.entries()),
            silentServers.isOwnPollingSound(state.available(group.name())),
            new Nodes(candidates, managedStores(state, group), state.entries() <= 1),
            new HashMap<>(),
            crossing(p));
    ScoredServer best = null;
    for (int i = 0; i < order.size(); i++) {
      ScoredServer o = score(context, order.get(i), i);
      if (o != null && (best == null || o.costMs() < best.costMs())) {
        best = o;
      }
    }
    return best == null ? Optional.empty() : Optional.of(plan(context, best));
  }

  /** Returns the stores whose sources and targets are set per part, fastest first. */
  private static List<CacheStore> managedStores(FleetState state, ServerGroup group) {
    if (state.desired() == null || group.engine() == null || !group.engine().managedCache()) {
      return List.of();
    }
    return state.desired().stores().stream()
        .filter(CacheStore::managed)
        .sorted(Comparator.comparingDouble(s -> -s.linkMbps()))
        .toList();
  }

  private @Nullable ScoredServer score(
      PlacementContext context, BackendServer server, int position) {
    Prompt p = context.prompt();
    int weights = loads.weights(server, p.model());
    if (weights == 0) {
      return null;
    }
    WeightTarget target = context.state().targets().get(p.model());
    boolean old = target != null && weights < target.version();
    if (target != null && old && isFinal(context, target)) {
      return null;
    }
    String salt = context.isolation().salt(p.model(), weights, context.organisation());
    CachedPrefix held = transfers.cachedPrefix(server, salt, p);
    int fetched = fetchableTokens(context, salt, held);
    int unread = Math.max(1, p.promptTokens() - held.tokens() - fetched);
    PromptWork work = PromptWork.of(context.rank(), p, salt, unread);
    Load load = context.load().loadAt(server);
    long added = loads.of(server).addedTokens(work);
    if (!context.room().hasRoom(load, work, added, profiles.of(server))) {
      return null;
    }
    double expected = expectedMs(context, server, load, work) + fetched * fetchMsPerToken(context);
    EngineProfile profile = profiles.of(server);
    long ahead = profile.prefillTokensAhead(load, work.rank());
    double cost = expected + penaltyMs(context, server, old) + RANK_MS * position;
    cost += profile.crowdingMs(ahead, load.inFlight()) + overtakenMs(context, server, load, work);
    cost += context.room().costMs(load, work, profile);
    return new ScoredServer(server, weights, salt, held, fetched, work, load, expected, cost);
  }

  /** Returns the expected time to the first token in milliseconds, without fetches. */
  private double expectedMs(
      PlacementContext context, BackendServer server, Load load, PromptWork work) {
    ServerLoad own = loads.of(server);
    EngineProfile profile = profiles.of(server);
    long ahead = profile.prefillTokensAhead(load, work.rank());
    double expected = profile.firstTokenMs(work.prefillTokens(), ahead, load.inFlight());
    expected += memoryWaitMs(context, load.upTo(work.rank()), own.addedTokens(work));
    expected += own.isLoading() ? LOADING_MS : 0;
    expected += isUnresponsive(context, server) ? UNRESPONSIVE_MS : 0;
    return expected;
  }

  /**
   * Returns the time of the less urgent work at a server that the request overtakes, in
   * milliseconds. It makes the server less preferable, because the request delays that work, and
   * preempts it if the memory is full.
   */
  private double overtakenMs(
      PlacementContext context, BackendServer server, Load load, PromptWork work) {
    EngineProfile profile = profiles.of(server);
    long ahead = profile.prefillTokensAhead(load, work.rank());
    double prefill = profile.prefillMs(load.prefillTokens() - ahead, load.inFlight());
    long added = loads.of(server).addedTokens(work);
    double memory = memoryWaitMs(context, load, added);
    return prefill + memory - memoryWaitMs(context, load.upTo(work.rank()), added);
  }

  /** Returns the penalties of a server in milliseconds that need not delay the request. */
  private double penaltyMs(PlacementContext context, BackendServer server, boolean oldWeights) {
    ServerLoad own = loads.of(server);
    String domain = server.failureDomain();
    double penalty =
        domain.equals(ownDomain)
            ? 0
            : crossing.promptMs(context.group().name(), domain, context.crossing());
    penalty += FAILURE_MS * own.recentFailures();
    penalty += oldWeights ? OLD_WEIGHTS_MS : 0;
    penalty += own.isFull() ? FULL_MS : 0;
    boolean silent = directory.isSilent(server.address());
    penalty += silent && !isUnresponsive(context, server) ? UNRESPONSIVE_MS : 0;
    return penalty;
  }

  private boolean isUnresponsive(PlacementContext context, BackendServer server) {
    return silentServers.isUnresponsive(server, context.pollingSound());
  }

  /** Returns whether weights older than the target must no longer be used for new requests. */
  private boolean isFinal(PlacementContext context, WeightTarget target) {
    boolean inPlace =
        target.foundAtStart()
            && context.candidates().stream()
                .anyMatch(s -> loads.weights(s, target.model()) >= target.version());
    return inPlace || target.isBinding(clock.nowMs(), oldWeightsMaxMs);
  }

  private double memoryWaitMs(PlacementContext context, Load load, long tokens) {
    long capacity = context.group().engine() == null ? 0 : context.group().engine().cacheTokens();
    return EngineLatencyModel.memoryWaitMs(load, tokens, capacity, loads.residenceMs());
  }

  /**
   * Returns the number of tokens after the cached parts that can be fetched from an engine or a
   * store.
   */
  private int fetchableTokens(PlacementContext context, String salt, CachedPrefix held) {
    if (context.group().engine() == null || !context.group().engine().managedCache()) {
      return 0;
    }
    int parts =
        context
            .fetchableBySalt()
            .computeIfAbsent(
                salt, s -> transfers.countFetchableParts(context.nodes(), s, context.prompt()));
    int tokens = 0;
    for (int i = held.wholeParts(); i < parts; i++) {
      tokens += context.prompt().parts().get(i).tokens();
    }
    return tokens;
  }

  /**
   * Returns the time to fetch a token from the slowest store in another failure domain, in
   * milliseconds.
   */
  private static double fetchMsPerToken(PlacementContext context) {
    ServerGroup.EngineConfig engine = context.group().engine();
    double slowest =
        context.nodes().stores().stream().mapToDouble(CacheStore::linkMbps).min().orElse(0);
    return engine == null || slowest <= 0
        ? 0
        : engine.bytesPerToken() * 8.0 / (slowest * 1_000) * REMOTE_TRANSFER_FACTOR;
  }

  private PromptPlan plan(PlacementContext context, ScoredServer o) {
    Prompt p = context.prompt();
    boolean managed = context.group().engine() != null && context.group().engine().managedCache();
    return new PromptPlan(
        o.server(),
        o.weights(),
        o.salt(),
        o.work(),
        o.expectedMs(),
        o.held().tokens(),
        o.fetchedTokens(),
        o.load(),
        managed
            ? transfers.plan(o.server(), context.nodes(), o.salt(), p, o.held().wholeParts())
            : CacheTransfers.none(p.parts().stream().map(Part::id).toList()));
  }

  /** Returns the crossing of a prompt, whose last part tells it from others. */
  private static Crossing crossing(Prompt p) {
    List<Part> parts = p.parts();
    String id = parts.isEmpty() ? p.model() : parts.get(parts.size() - 1).id();
    long hash = Rendezvous.weight(id.getBytes(StandardCharsets.UTF_8), "crossing");
    long bytes =
        (long) BYTES_PER_TOKEN * p.promptTokens()
            + (long) BYTES_PER_EVENT * p.expectedAnswerTokens();
    return new Crossing(bytes, (hash >>> 11) * 0x1.0p-53);
  }

  /**
   * Returns the hash key of a prompt. The last part is unique to the request, so the part before it
   * identifies the shared prefix.
   */
  private static String affinity(Prompt p) {
    List<Part> parts = p.parts();
    return parts.isEmpty() ? p.model() : parts.get(Math.max(0, parts.size() - 2)).id();
  }
}
